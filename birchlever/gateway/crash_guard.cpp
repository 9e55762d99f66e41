#include "birchlever/gateway/crash_guard.h"

#include <algorithm>
#include <array>

#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto suspected_crashes = 2;  // One crash and the open send.
constexpr auto last_chance_crashes = 3;

auto ids_of(const std::set<std::string>& incarnations) -> std::set<std::string> {
  auto ids = std::set<std::string>{};
  for (const auto& incarnation : incarnations) {
    ids.insert(id_of_incarnation(incarnation));
  }
  return ids;
}

/// Returns true if the upstream got the request and no outcome is known that shows that it survived.
auto is_lost(attempt_outcome outcome, const gateway_request& request) -> bool {
  switch (outcome) {
    case attempt_outcome::unknown:
    case attempt_outcome::out_of_time:
    case attempt_outcome::broken_off:
      return true;
    case attempt_outcome::caller_gone:
      return request.relayed_.reached_upstream_;
    case attempt_outcome::relayed:
    case attempt_outcome::not_reached:
    case attempt_outcome::refused_full:
    case attempt_outcome::refused:
    case attempt_outcome::withheld:
      break;
  }
  return false;
}

/// Returns true if the upstream closed the connection, which it also does when it ends.
auto is_closed_by_upstream(attempt_outcome outcome, const gateway_request& request) -> bool {
  return outcome == attempt_outcome::unknown ||
         (outcome == attempt_outcome::broken_off && request.relayed_.interrupted_by_upstream_);
}

}  // namespace

auto name_of(peer_contact contact) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 3>{"all", "most", "few"};
  return names.at(static_cast<std::size_t>(contact));
}

crash_guard::crash_guard(gateway_context& context, std::shared_ptr<crash_register> crashes,
                         const crash_guard_settings& settings)
    : context_{&context},
      crashes_{std::move(crashes)},
      lost_sends_{lost_send_watch::create(context, crashes_, settings.lost_sends_)},
      settings_{settings} {}

auto crash_guard::create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                         const crash_guard_settings& settings) -> std::shared_ptr<crash_guard> {
  return std::shared_ptr<crash_guard>{new crash_guard{context, std::move(crashes), settings}};
}

auto crash_guard::counted_sends(const gateway_request& request) const -> int {
  const auto& history = crashes_->history();
  return std::max(history.crashes(request.fingerprint_), history.crashes(request.content_fingerprint_));
}

auto crash_guard::refusal(const gateway_request& request) const -> std::optional<error> {
  for (const auto& fingerprint : {request.fingerprint_, request.content_fingerprint_}) {
    auto crashes = crashes_->history().crashes(fingerprint);
    if (crashes > 0 && crashes >= max_crashes()) {
      return make_refusal(request, fingerprint, crashes);
    }
  }
  return std::nullopt;
}

auto crash_guard::make_refusal(const gateway_request& request, const std::string& fingerprint,
                               int crashes) const -> error {
  const auto& history = crashes_->history();
  auto confirmed = history.confirmed_crashes(fingerprint);
  auto ran = request.relayed_.reached_upstream_ ? ran_state::outcome_unknown : ran_state::not_run;
  auto subject = std::string{is_content(fingerprint) ? "requests of this content" : "this request"};
  if (confirmed >= history.settings().max_crashes_) {
    return {error_code::upstreams_crashed,
            "not sent: " + std::to_string(confirmed) + " upstreams ended while they ran " + subject, ran};
  }
  return {error_code::sends_unresolved,
          "not sent: " + std::to_string(confirmed) + " upstreams ended while they ran " + subject + ", " +
              std::to_string(crashes) + " may have",
          ran, settings_.unresolved_retry_};
}

auto crash_guard::max_crashes() const -> int {
  const auto& history = crashes_->history();
  auto daemon_lost = daemon_lost_ && daemon_lost_();
  auto evicted = history.evicted_within(history.settings().max_open_, context_->clock_.now());
  return history.settings().max_crashes_ - (daemon_lost || evicted ? 1 : 0);
}

auto crash_guard::avoided_upstreams(const gateway_request& request) const
    -> std::vector<std::set<std::string>> {
  const auto& history = crashes_->history();
  auto levels = std::vector<std::set<std::string>>{};
  if (history.crashes(request.fingerprint_) > 0) {
    levels.push_back(ids_of(history.upstreams_at_risk(request.fingerprint_, suspected_crashes)));
  }
  levels.push_back(ids_of(history.upstreams_at_risk(request.fingerprint_, last_chance_crashes)));
  return levels;
}

auto crash_guard::prepare_send(gateway_request& request, const upstream& target) -> task<status> {
  const auto& history = crashes_->history();
  auto incarnation = incarnation_of(target.entry());
  request.counted_before_.clear();
  request.content_round_ = history.round_of_send(request.content_fingerprint_, context_->clock_.now());
  auto records = std::vector<send_record>{};
  for (const auto& fingerprint : {request.fingerprint_, request.content_fingerprint_}) {
    if (history.counts(fingerprint, incarnation)) {
      request.counted_before_.insert(fingerprint);
    }
    if (history.crashes(fingerprint) > 0) {
      records.push_back({fingerprint, incarnation, send_state::open, request.content_round_});
    }
  }
  request.send_runs_ = std::make_shared<bool>(true);
  if (records.empty() && mass_lost_ && mass_lost_()) {
    start(*context_->loop_, "record_running_send",
          record_running(request.fingerprint_, incarnation, request.send_runs_));
  }
  if (records.empty()) {
    co_return success;
  }
  auto stored = co_await crashes_->record_all(records);
  for (const auto& record : records) {
    auto reason = send_refusal(request, record.fingerprint_, stored);
    if (reason) {
      settle_unsent(request, incarnation);
      co_return *reason;
    }
  }
  co_return success;
}

auto crash_guard::send_refusal(const gateway_request& request, const std::string& fingerprint,
                               bool stored) const -> std::optional<error> {
  const auto& history = crashes_->history();
  // With this send, and those of other daemons meanwhile.
  auto crashes = history.crashes(fingerprint);
  auto earlier = request.counted_before_.count(fingerprint) != 0 ? crashes : crashes - 1;
  if (crashes > max_crashes()) {
    return make_refusal(request, fingerprint, earlier);
  }
  auto reached = contact();
  if (reached == peer_contact::few) {
    return make_contact_error(earlier);
  }
  auto known_elsewhere =
      stored || (reached == peer_contact::all && crashes < history.settings().max_crashes_);
  return known_elsewhere ? std::nullopt : std::optional{make_store_error(earlier)};
}

auto crash_guard::set_mass_loss_check(loss_check_function callback) -> void {
  mass_lost_ = callback;
  lost_sends_->set_mass_loss_check(std::move(callback));
}

auto crash_guard::record_running(std::string fingerprint, std::string incarnation,
                                 std::shared_ptr<const bool> running) -> task<> {
  auto crashes = crashes_;
  co_await pause_for(*context_->loop_, settings_.record_running_after_);
  if (*running) {
    auto record = send_record{std::move(fingerprint), std::move(incarnation), send_state::open};
    co_await crashes->record(std::move(record));
  }
}

auto crash_guard::make_store_error(int crashes) const -> error {
  return error{error_code::store_unavailable,
               "not sent: " + std::to_string(crashes) +
                   " upstreams ended or may have ended while they ran this request, and this send can't "
                   "be recorded now",
               ran_state::not_run, settings_.retry_after_};
}

auto crash_guard::make_contact_error(int crashes) const -> error {
  return error{error_code::sends_unresolved,
               "not sent: " + std::to_string(crashes) +
                   " upstreams ended or may have ended while they ran this request, and most other daemons, "
                   "which may know of more, can't be heard",
               ran_state::not_run, settings_.elsewhere_retry_};
}

auto crash_guard::settle_unsent(const gateway_request& request, const std::string& incarnation) -> void {
  for (const auto& fingerprint : {request.fingerprint_, request.content_fingerprint_}) {
    // What did not reach the upstream says nothing about an earlier send that did.
    if (request.counted_before_.count(fingerprint) == 0) {
      crashes_->settle(fingerprint, incarnation);
    }
  }
}

auto crash_guard::conclude_send(const gateway_request& request, upstream_pointer target,
                                attempt_outcome outcome, milliseconds sent_at)
    -> task<std::optional<identity_state>> {
  const auto& fingerprint = request.fingerprint_;
  *request.send_runs_ = false;
  if (is_lost(outcome, request)) {
    auto send = lost_send{};
    send.fingerprint_ = fingerprint;
    send.content_fingerprint_ = request.content_fingerprint_;
    send.content_round_ = crashes_->history().round_of_send(request.content_fingerprint_, sent_at);
    send.target_ = std::move(target);
    send.sent_at_ = sent_at;
    send.since_ = context_->clock_.now();
    send.may_run_until_ = std::max(send.since_, request.deadline_);
    send.closed_by_upstream_ = is_closed_by_upstream(outcome, request);
    auto probed = co_await lost_sends_->examine(std::move(send));
    co_return probed;
  }
  auto served = outcome == attempt_outcome::relayed && request.relayed_.complete_;
  if (served) {
    crashes_->conclude_served(fingerprint);
    crashes_->conclude_served(request.content_fingerprint_);
  } else {
    settle_unsent(request, incarnation_of(target->entry()));
  }
  co_return std::nullopt;
}

}  // namespace birchlever

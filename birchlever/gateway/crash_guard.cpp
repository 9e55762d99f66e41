#include "birchlever/gateway/crash_guard.h"

#include <algorithm>

#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto suspected_crashes = 2;  // One crash and the open send.
constexpr auto last_chance_crashes = 3;
constexpr auto probe_poll_interval = milliseconds{5};
// A response that arrives this long after a loss was sent by a process that survived it.
constexpr auto response_margin = milliseconds{20};

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
      return true;
    case attempt_outcome::broken_off:
      return request.relayed_.interrupted_by_upstream_;
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

crash_guard::crash_guard(gateway_context& context, std::shared_ptr<crash_register> crashes,
                         const crash_guard_settings& settings)
    : context_{&context}, crashes_{std::move(crashes)}, settings_{settings} {}

auto crash_guard::create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                         const crash_guard_settings& settings) -> std::shared_ptr<crash_guard> {
  return std::shared_ptr<crash_guard>{new crash_guard{context, std::move(crashes), settings}};
}

auto crash_guard::counted_sends(const gateway_request& request) const -> int {
  return crashes_->history().crashes(request.fingerprint_);
}

auto crash_guard::refusal(const gateway_request& request) const -> std::optional<error> {
  const auto& history = crashes_->history();
  auto crashes = history.crashes(request.fingerprint_);
  if (crashes == 0 || crashes < max_crashes()) {
    return std::nullopt;
  }
  return make_refusal(request, crashes);
}

auto crash_guard::make_refusal(const gateway_request& request, int crashes) const -> error {
  const auto& history = crashes_->history();
  auto confirmed = history.confirmed_crashes(request.fingerprint_);
  auto ran = request.relayed_.reached_upstream_ ? ran_state::outcome_unknown : ran_state::not_run;
  if (confirmed >= history.settings().max_crashes_) {
    return {error_code::upstreams_crashed,
            "not sent: " + std::to_string(confirmed) + " upstreams ended while they ran this request", ran};
  }
  return {error_code::sends_unresolved,
          "not sent: " + std::to_string(confirmed) + " upstreams ended while they ran this request, " +
              std::to_string(crashes) + " may have",
          ran, settings_.unresolved_retry_};
}

auto crash_guard::max_crashes() const -> int {
  auto unseen = daemon_lost_ && daemon_lost_() ? 1 : 0;
  return crashes_->history().settings().max_crashes_ - unseen;
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

auto crash_guard::prepare_send(const gateway_request& request, const upstream& target) -> task<status> {
  const auto& history = crashes_->history();
  const auto& fingerprint = request.fingerprint_;
  if (history.crashes(fingerprint) == 0) {
    co_return success;
  }
  auto incarnation = incarnation_of(target.entry());
  auto open_send = send_record{fingerprint, incarnation, send_state::open};
  auto stored = co_await crashes_->record(std::move(open_send));
  auto crashes = history.crashes(fingerprint);  // With this send, and those of other daemons meanwhile.
  if (crashes > max_crashes()) {
    crashes_->settle(fingerprint, incarnation);
    co_return make_refusal(request, crashes - 1);
  }
  if (!stored && crashes == history.settings().max_crashes_) {
    crashes_->settle(fingerprint, incarnation);
    co_return error{error_code::store_unavailable,
                    "not sent: " + std::to_string(crashes - 1) +
                        " upstreams ended or may have ended while they ran this request, and this send can't "
                        "be recorded now",
                    ran_state::not_run, settings_.retry_after_};
  }
  co_return success;
}

auto crash_guard::conclude_send(const gateway_request& request, upstream_pointer target,
                                attempt_outcome outcome, milliseconds sent_at)
    -> task<std::optional<port_state>> {
  const auto& fingerprint = request.fingerprint_;
  if (!is_lost(outcome, request)) {
    auto served = outcome == attempt_outcome::relayed && request.relayed_.complete_;
    if (served) {
      crashes_->clear(fingerprint);
    } else {
      crashes_->settle(fingerprint, incarnation_of(target->entry()));
    }
    co_return std::nullopt;
  }
  auto since = context_->clock_.now();
  auto lost = watched_send{fingerprint, target, since, is_closed_by_upstream(outcome, request)};
  if (!lost.closed_by_upstream_) {
    auto last_sign = std::max(sent_at, target->health().last_response_at());
    if (since - last_sign >= settings_.silent_after_) {
      record_open(lost);
    }
    watch(std::move(lost));
    co_return std::nullopt;
  }
  co_await pause_for(*context_->loop_, settings_.probe_delay_);
  if (replaced(lost)) {
    co_await record_crash(fingerprint, std::move(target), "replaced");
    co_return std::nullopt;
  }
  auto state = co_await probe(target);
  context_->metrics_->count("lost_responses_total{port=\"" + std::string{name_of(state)} + "\"}");
  if (state == port_state::closed) {
    co_await record_crash(fingerprint, std::move(target), "port_closed");
    co_return state;
  }
  if (state == port_state::silent) {
    record_open(lost);
  }
  watch(std::move(lost));
  co_return state;
}

auto crash_guard::probe(upstream_pointer target) -> task<port_state> {
  auto self = shared_from_this();
  auto incarnation = incarnation_of(target->entry());
  auto known = checks_.find(incarnation);
  while (known != checks_.end() && !known->second.state_) {
    co_await pause_for(*context_->loop_, probe_poll_interval);
    known = checks_.find(incarnation);
  }
  auto now = context_->clock_.now();
  if (known != checks_.end() && now - known->second.finished_at_ < settings_.probe_lifetime_) {
    co_return *known->second.state_;
  }
  checks_[incarnation] = {};
  auto state = co_await probe_port(*context_->loop_, target->entry().address_, settings_.probe_limit_);
  remove_old_checks();
  checks_[incarnation] = {state, context_->clock_.now(), round_};
  co_return state;
}

auto crash_guard::probe_in_round(upstream_pointer target) -> task<port_state> {
  auto known = checks_.find(incarnation_of(target->entry()));
  if (known != checks_.end() && known->second.state_ && known->second.round_ == round_) {
    co_return *known->second.state_;
  }
  co_return co_await probe(std::move(target));
}

auto crash_guard::remove_old_checks() -> void {
  auto now = context_->clock_.now();
  for (auto next = checks_.begin(); next != checks_.end();) {
    const auto& check = next->second;
    auto expired = now - check.finished_at_ >= settings_.probe_lifetime_;
    auto old = check.state_ && expired && check.round_ != round_;
    next = old ? checks_.erase(next) : std::next(next);
  }
}

auto crash_guard::replaced(const watched_send& send) const -> bool {
  const auto& entry = send.target_->entry();
  auto incarnation = incarnation_of(entry);
  auto listed = context_->upstreams_->find(entry.id_);
  if (listed && incarnation_of(listed->entry()) != incarnation) {
    return true;
  }
  auto at_address = context_->upstreams_->find_at(entry.address_);
  return at_address && incarnation_of(at_address->entry()) != incarnation &&
         at_address->known_since() >= send.since_;
}

auto crash_guard::record_crash(std::string fingerprint, upstream_pointer target, const char* evidence)
    -> task<> {
  auto self = shared_from_this();
  auto incarnation = incarnation_of(target->entry());
  auto started_at = context_->clock_.now();
  auto crash = send_record{fingerprint, incarnation, send_state::crashed};
  auto stored = co_await crashes_->record(std::move(crash));
  context_->metrics_->count("upstream_crashes_total{evidence=\"" + std::string{evidence} + "\"}");
  log_event(log_level::warning, "upstream_ended_under_request",
            {{"fingerprint", fingerprint},
             {"upstream", incarnation},
             {"evidence", std::string{evidence}},
             {"crashes", std::int64_t{crashes_->history().crashes(fingerprint)}},
             {"stored", stored},
             {"took_ms", context_->clock_.now() - started_at}});
}

auto crash_guard::record_open(const watched_send& send) -> void {
  auto open_send = send_record{send.fingerprint_, incarnation_of(send.target_->entry()), send_state::open};
  auto write = [](std::shared_ptr<crash_register> crashes, send_record record) -> task<> {
    co_await crashes->record(std::move(record));
  };
  start(*context_->loop_, "record_open_send", write(crashes_, std::move(open_send)));
}

auto crash_guard::watch(watched_send send) -> void {
  if (watched_.size() >= settings_.max_watched_) {
    crashes_->settle(watched_.front().fingerprint_, incarnation_of(watched_.front().target_->entry()));
    watched_.pop_front();
  }
  watched_.push_back(std::move(send));
  if (!std::exchange(watching_, true)) {
    start(*context_->loop_, "watch_lost_sends", check_watched());
  }
}

auto crash_guard::check_watched() -> task<> {
  auto self = shared_from_this();
  while (!watched_.empty()) {
    co_await pause_for(*context_->loop_, settings_.watch_interval_);
    ++round_;
    for (auto left = watched_.size(); left > 0 && !watched_.empty(); --left) {
      auto send = std::move(watched_.front());
      watched_.pop_front();
      auto resolved = co_await resolve(send);
      if (!resolved) {
        watched_.push_back(std::move(send));
      }
    }
  }
  watching_ = false;
}

auto crash_guard::resolve(watched_send& send) -> task<bool> {
  const auto& target = *send.target_;
  auto incarnation = incarnation_of(target.entry());
  auto expired = context_->clock_.now() - send.since_ > settings_.watch_duration_;
  auto survived = target.health().last_response_at() > send.since_ + response_margin;
  if (survived || expired) {
    log_event(log_level::info, "lost_send_settled",
              {{"fingerprint", send.fingerprint_},
               {"upstream", incarnation},
               {"grounds", std::string{survived ? "responded" : "expired"}},
               {"after_ms", context_->clock_.now() - send.since_}});
    crashes_->settle(send.fingerprint_, incarnation);
    co_return true;
  }
  auto in_place_of_it = replaced(send);
  auto listed = context_->upstreams_->find(target.entry().id_) != nullptr;
  // A process that ends may accept connections for a moment after it closed others.
  auto must_probe = !listed || (send.closed_by_upstream_ && !std::exchange(send.probed_again_, true));
  if (!in_place_of_it && !must_probe) {
    co_return false;
  }
  if (!in_place_of_it) {
    auto state = co_await probe_in_round(send.target_);
    if (state != port_state::closed) {
      co_return false;
    }
  }
  start(*context_->loop_, "record_crash",
        record_crash(send.fingerprint_, send.target_, in_place_of_it ? "replaced" : "port_closed_later"));
  co_return true;
}

}  // namespace birchlever

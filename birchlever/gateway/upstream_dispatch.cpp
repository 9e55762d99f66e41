#include "birchlever/gateway/upstream_dispatch.h"

#include "birchlever/core/hashing.h"
#include "birchlever/gateway/crash_guard.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/request_progress.h"

namespace birchlever {
namespace {

constexpr auto no_upstream_retry_ms = milliseconds{250};  // About the duration of a tool call or turn.

constexpr auto first_error_status = 500;
constexpr auto min_connection_share = std::int64_t{2};  // Of an upstream's connections, per daemon.

/// Returns what an outcome says about the upstream's health. An error response counts like a lost response,
/// since the health check may still succeed. An exceeded deadline does not count: it is a sign of load, and
/// avoiding loaded upstreams would overload the others.
auto upstream_outcome_of(attempt_outcome outcome, const gateway_request& request) -> upstream_outcome {
  switch (outcome) {
    case attempt_outcome::refused_full:
      return upstream_outcome::full;
    case attempt_outcome::not_reached:
    case attempt_outcome::refused:
    case attempt_outcome::unknown:
      return upstream_outcome::failed;
    case attempt_outcome::out_of_time:  // Hanging upstreams are detected as unresponsive.
      return upstream_outcome::none;
    case attempt_outcome::broken_off:
      return request.relayed_.interrupted_by_upstream_ ? upstream_outcome::failed : upstream_outcome::none;
    case attempt_outcome::caller_gone:
    case attempt_outcome::withheld:
      return upstream_outcome::none;
    case attempt_outcome::relayed:
      break;
  }
  return request.final_status_ >= first_error_status ? upstream_outcome::failed : upstream_outcome::served;
}

/// Returns true if a request may run more than once. Streams are resumed rather than repeated.
auto is_repeatable(const gateway_request& request) -> bool {
  return request.route_->kind_ == route_kind::safe || request.route_->resumable_;
}

}  // namespace

auto upstream_dispatch::make_criteria(const gateway_request& request) const -> upstream_criteria {
  auto criteria = upstream_criteria{};
  criteria.service_ = request.service_;
  criteria.model_ = request.metadata_.model_;
  criteria.prompt_tokens_ = request.metadata_.prompt_tokens_;
  criteria.max_tokens_ = request.metadata_.max_tokens_;
  criteria.parts_ = request.metadata_.parts_;
  criteria.program_ = request.metadata_.program_;
  criteria.last_upstream_ = request.last_upstream_;
  if (context_->program_affinity_ && !request.route_->retains_turns_) {
    criteria.affinity_key_ = request.metadata_.program_;
  }
  criteria.seed_ = hash_of(request.metadata_.request_id_);
  const auto* service = request.configuration_->find_service(request.service_);
  if (service != nullptr && service->max_connections_ > 0) {
    // The limit applies to all daemons together; the upstream resets connections beyond it.
    auto share = service->max_connections_ / std::max<std::int64_t>(context_->daemon_count_, 1);
    criteria.max_local_in_flight_ = static_cast<int>(std::max<std::int64_t>(share, min_connection_share));
  }
  if (service != nullptr) {
    criteria.cold_start_ = {service->cold_requests_per_s_, context_->daemon_count_, service->cold_duration_};
  }
  criteria.regions_.add(request.route_->allowed_regions_);
  if (request.account_ != nullptr) {
    criteria.regions_.add(request.account_->allowed_regions_);
  }
  if (service != nullptr && service->engine_) {
    criteria.cache_capacity_ = service->engine_->cache_tokens_;
  }
  return criteria;
}

auto upstream_dispatch::policy_for(const gateway_request& request) const
    -> std::shared_ptr<const policy_interface> {
  const auto* service = request.configuration_->find_service(request.service_);
  auto engines = service != nullptr && service->engine_;
  return context_->policies_->find(engines ? context_->engine_policy_ : context_->service_policy_);
}

auto upstream_dispatch::track(const gateway_request& request, const upstream_choice& choice,
                              const upstream_criteria& criteria) const -> std::shared_ptr<request_progress> {
  auto progress = request_progress{};
  progress.route_ = request.route_->name_;
  progress.streams_ = request.route_->kind_ == route_kind::streaming;
  auto uncached = std::max<std::int64_t>(criteria.prompt_tokens_ - choice.cached_tokens_, 0);
  progress.uncached_tokens_ = static_cast<double>(uncached);
  progress.resumed_ = request.relayed_.last_event_.has_value();
  return context_->upstreams_->track(*choice.chosen_, std::move(progress));
}

auto upstream_dispatch::choose_upstream(const gateway_request& request,
                                        const upstream_criteria& criteria) const -> result<upstream_choice> {
  auto avoided = std::vector<std::set<std::string>>{};
  if (context_->crash_guard_) {
    avoided = context_->crash_guard_->avoided_upstreams(request);
  }
  for (const auto& ids : avoided) {
    if (ids.empty()) {
      continue;
    }
    auto restricted = criteria;
    restricted.excluded_.insert(ids.begin(), ids.end());
    auto choice = context_->upstreams_->choose(*policy_for(request), restricted);
    if (ok(choice)) {
      value(choice).avoided_ = ids.size();
      return choice;
    }
  }
  return context_->upstreams_->choose(*policy_for(request), criteria);
}

auto upstream_dispatch::attempt_once(gateway_request& request, upstream_criteria& criteria,
                                     attempt_counts& counts) -> task<attempt_outcome> {
  auto choice = choose_upstream(request, criteria);
  if (!ok(choice)) {
    co_return attempt_outcome::refused_full;
  }
  auto target = value(choice).chosen_;
  auto counted = 0;  // Earlier sends of the work under which the upstream ended or may have ended.
  if (context_->crash_guard_) {
    counted = context_->crash_guard_->counted_sends(request);
    auto prepared = co_await context_->crash_guard_->prepare_send(request, *target);
    if (!ok(prepared)) {
      counts.withheld_ = failure(prepared);
      log_withheld(request, failure(prepared));
      co_return attempt_outcome::withheld;
    }
  }
  auto started_at = context_->clock_.now();
  auto sent_at = context_->upstreams_->record_sent(*target, criteria);
  auto progress = track(request, value(choice), criteria);
  auto attempt = upstream_attempt{*context_, request, *target, sent_at, progress};
  auto outcome = co_await attempt.run();
  request.connection_->on_gone(nullptr);
  auto successful = outcome == attempt_outcome::relayed && request.relayed_.complete_;
  context_->upstreams_->record_end(*target, progress, successful);
  context_->upstreams_->record_finished(*target, sent_at, upstream_outcome_of(outcome, request));
  criteria.excluded_.insert(target->entry().id_);
  ++counts.attempts_;
  auto duration = context_->clock_.now() - started_at;
  context_->metrics_->observe("upstream_ms{outcome=\"" + std::string{name_of(outcome)} + "\"}",
                              static_cast<double>(duration));
  auto probed = std::optional<identity_state>{};
  if (context_->crash_guard_) {
    probed = co_await context_->crash_guard_->conclude_send(request, target, outcome, sent_at);
  }
  log_event(log_level::info, "request_offered",
            {{"request", request.metadata_.request_id_},
             {"program", request.metadata_.program_},
             {"account", request.account_name()},
             {"route", request.route_->name_},
             {"fingerprint", request.fingerprint_},
             {"content", request.content_fingerprint_},
             {"counted_sends", std::int64_t{counted}},
             {"session", request.metadata_.session_},
             {"upstream", incarnation_of(target->entry())},
             {"candidates", static_cast<std::int64_t>(value(choice).candidates_)},
             {"avoided", static_cast<std::int64_t>(value(choice).avoided_)},
             {"held_tokens", value(choice).cached_tokens_},
             {"prompt_tokens", request.metadata_.prompt_tokens_},
             {"running_there", std::int64_t{target->running()}},
             {"waited_ms", started_at - request.received_at_},
             {"took_ms", duration},
             {"events", request.relayed_.events_},
             {"configuration", request.configuration_->version_},
             {"outcome", std::string{name_of(outcome)}},
             {"fault", attempt.fault() ? std::string{name_of(*attempt.fault())} : std::string{}},
             {"upstream_port", probed ? std::string{name_of(*probed)} : std::string{}}});
  co_return outcome;
}

auto upstream_dispatch::may_retry(const gateway_request& request, attempt_outcome last,
                                  const attempt_counts& counts) const -> bool {
  auto time_left = request.deadline_ - context_->clock_.now() > context_->limits_.deadline_margin_ms_;
  if (!time_left || counts.attempts_ >= context_->limits_.max_attempts_ || request.connection_->gone()) {
    return false;
  }
  if (!is_retriable(request, last, counts)) {
    return false;
  }
  auto refusal = context_->crash_guard_ ? context_->crash_guard_->refusal(request) : std::nullopt;
  if (refusal) {
    log_withheld(request, *refusal);
  }
  return !refusal;
}

auto upstream_dispatch::log_withheld(const gateway_request& request, const error& reason) const -> void {
  context_->metrics_->count("sends_withheld_total{reason=\"" + std::string{name_of(reason.code_)} + "\"}");
  log_event(log_level::warning, "send_withheld",
            {{"request", request.metadata_.request_id_},
             {"program", request.metadata_.program_},
             {"fingerprint", request.fingerprint_},
             {"reason", std::string{name_of(reason.code_)}},
             {"detail", reason.detail_}});
}

auto upstream_dispatch::is_retriable(const gateway_request& request, attempt_outcome last,
                                     const attempt_counts& counts) -> bool {
  switch (last) {
    case attempt_outcome::not_reached:
    case attempt_outcome::refused_full:
    case attempt_outcome::refused:
      return true;
    case attempt_outcome::unknown:
      return is_repeatable(request) && counts.may_have_run_ < request.route_->max_upstreams_;
    case attempt_outcome::broken_off:
      return is_repeatable(request) && request.relayed_.interrupted_by_upstream_ &&
             counts.may_have_run_ < request.route_->max_upstreams_;
    case attempt_outcome::relayed:
    case attempt_outcome::out_of_time:
    case attempt_outcome::caller_gone:
    case attempt_outcome::withheld:
      break;
  }
  return false;
}

auto upstream_dispatch::final_error(attempt_outcome last, const attempt_counts& counts) -> error {
  if (counts.withheld_ && counts.may_have_run_ == 0) {
    return *counts.withheld_;
  }
  if (counts.may_have_run_ == 0) {
    return error{error_code::no_upstream, "no upstream accepted the request", ran_state::not_run,
                 no_upstream_retry_ms};
  }
  if (last == attempt_outcome::out_of_time) {
    return error{error_code::upstream_timeout, "upstream did not respond before the deadline",
                 ran_state::outcome_unknown};
  }
  return error{error_code::outcome_unknown, "upstream response was lost", ran_state::outcome_unknown};
}

auto upstream_dispatch::abort_stream(gateway_request& request) -> void {
  log_event(log_level::warning, "stream_aborted",
            {{"request", request.metadata_.request_id_},
             {"program", request.metadata_.program_},
             {"events", request.relayed_.events_}});
  context_->metrics_->count("streams_cut_total");
  request.connection_->close();
  request.keep_alive_ = false;
}

auto upstream_dispatch::run_attempts(gateway_request& request, attempt_counts& counts)
    -> task<attempt_outcome> {
  auto criteria = make_criteria(request);
  auto last = attempt_outcome::refused_full;
  auto retry = true;
  while (retry) {
    auto before = counts.attempts_;
    request.relayed_.reached_upstream_ = counts.may_have_run_ > 0;
    last = co_await attempt_once(request, criteria, counts);
    auto may_have_run = last == attempt_outcome::unknown || last == attempt_outcome::out_of_time ||
                        last == attempt_outcome::broken_off ||
                        (last == attempt_outcome::caller_gone && request.relayed_.reached_upstream_);
    if (may_have_run) {
      ++counts.may_have_run_;
    }
    retry = counts.attempts_ > before && may_retry(request, last, counts);
  }
  co_return last;
}

auto upstream_dispatch::apply(gateway_request& request, next_filter /*next*/) -> task<> {
  request.relayed_.last_event_ = request.metadata_.last_event_;
  auto counts = attempt_counts{};
  auto last = co_await run_attempts(request, counts);
  if (last == attempt_outcome::relayed) {
    co_return;
  }
  request.relayed_.reached_upstream_ = counts.may_have_run_ > 0;
  if (request.response_started_) {
    abort_stream(request);
    co_return;
  }
  if (last == attempt_outcome::caller_gone || request.connection_->gone()) {
    request.connection_->close();
    request.keep_alive_ = false;
    co_return;
  }
  auto reason = final_error(last, counts);
  co_await refuse(*context_, request, reason);
}

}  // namespace birchlever

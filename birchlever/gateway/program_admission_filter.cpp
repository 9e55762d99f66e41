#include "birchlever/gateway/program_admission_filter.h"

#include <algorithm>
#include <set>

#include "birchlever/admission/pressure_measure.h"
#include "birchlever/admission/program_admission.h"
#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto status_ok = 200;
constexpr auto unknown_time = milliseconds{-1};

/// Returns the ranks of the routes that start programs, most urgent first.
auto program_ranks(const serving_configuration& configuration) -> std::set<int> {
  auto ranks = std::set<int>{};
  for (const auto& candidate : configuration.routes_) {
    if (candidate.retains_turns_) {
      ranks.insert(candidate.rank_);
    }
  }
  return ranks;
}

}  // namespace

auto is_first_turn(const gateway_request& request) -> bool {
  const auto& metadata = request.metadata_;
  return request.route_->retains_turns_ && metadata.previous_turn_.empty() && !metadata.last_event_;
}

auto program_admission_filter::make_claim(const gateway_request& request, milliseconds now) const
    -> program_claim {
  auto ranks = program_ranks(*request.configuration_);
  auto claim = program_claim{};
  claim.urgency_ = static_cast<int>(std::distance(ranks.begin(), ranks.find(request.route_->rank_)));
  claim.classes_ = static_cast<int>(ranks.size());
  claim.expected_turns_ = context_->pressure_->expected_turns(request.route_->name_, now);
  claim.route_ = request.route_->name_;
  claim.program_time_left_ = request.metadata_.program_time_left_;
  claim.request_time_left_ = request.deadline_ - now;
  claim.seed_ = hash_of(request.metadata_.request_id_);
  return claim;
}

auto program_admission_filter::log_refusal(const gateway_request& request, const program_claim& claim,
                                           const program_verdict& verdict) const -> void {
  const auto& fleet = context_->admission_->pressure();
  log_event(log_level::info, "program_not_admitted",
            {{"request", request.metadata_.request_id_},
             {"program", request.metadata_.program_},
             {"route", request.route_->name_},
             {"urgency", std::int64_t{claim.urgency_}},
             {"program_time_left_ms", claim.program_time_left_.value_or(unknown_time)},
             {"expected_turns", claim.expected_turns_},
             {"cause", std::string{name_of(verdict.refusal_)}},
             {"shortage", fleet.shortage_},
             {"write_wait_ms", fleet.write_wait_ms_},
             {"throttled_share", fleet.throttled_share_},
             {"upstreams", fleet.upstreams_},
             {"reports", static_cast<std::int64_t>(fleet.reports_)},
             {"oldest_report_ms", fleet.oldest_ms_},
             {"programs_per_s", context_->admission_->rate()},
             {"tokens", verdict.tokens_},
             {"required_tokens", verdict.required_},
             {"retry_after_ms", verdict.retry_after_}});
}

auto program_admission_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!context_->admission_ || !request.route_->retains_turns_) {
    co_await next(request);
    co_return;
  }
  auto now = context_->clock_.now();
  auto first = is_first_turn(request);
  if (first) {
    auto claim = make_claim(request, now);
    auto verdict = context_->admission_->decide(claim, now);
    if (!verdict.admitted()) {
      log_refusal(request, claim, verdict);
      context_->metrics_->count("programs_not_admitted_total{urgency=\"" + std::to_string(claim.urgency_) +
                                "\"}");
      auto reason = error{error_code::overloaded, std::string{explain(verdict.refusal_)}, ran_state::not_run,
                          verdict.retry_after_};
      co_await refuse(*context_, request, reason);
      co_return;
    }
    if (context_->admission_->limited()) {
      context_->metrics_->count("programs_admitted_in_shortage_total{urgency=\"" +
                                std::to_string(claim.urgency_) + "\"}");
    }
  }
  co_await next(request);
  if (request.relayed_.reached_upstream_) {  // Refused turns come back and would be counted again.
    context_->pressure_->record_turn(request.route_->name_, first, context_->clock_.now());
  }
  if (request.final_status_ == status_ok && request.relayed_.complete_) {
    context_->pressure_->record_served(context_->clock_.now());
  }
}

}  // namespace birchlever

#include "birchlever/gateway/allotment_filter.h"

#include "birchlever/accounts/allotment_policy.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto target_duration_ratio = 2;  // Of a program's time limit to its duration on idle upstreams.
constexpr auto default_program_ms = milliseconds{4000};  // For programs without a time limit.

/// Returns true for the first turn of a program, and for any request outside programs. The first turn of a
/// sub-agent continues a turn of its program, so it does not start one.
auto starts_program(const gateway_request& request) -> bool {
  const auto& metadata = request.metadata_;
  return metadata.program_.empty() || (request.route_->retains_turns_ && metadata.previous_turn_.empty());
}

}  // namespace

auto allotment_filter::make_claim(const gateway_request& request, bool starts) const -> allotment_claim {
  auto claim = allotment_claim{};
  claim.account_ = request.account_->name_;
  claim.allotment_ = request.account_->allotment_;
  claim.starts_program_ = starts;
  if (starts && !request.metadata_.program_.empty()) {
    auto time_left = request.metadata_.program_time_left_;
    claim.expected_requests_ = sizes_.mean_requests();
    claim.expected_duration_ = time_left ? *time_left / target_duration_ratio : default_program_ms;
  }
  return claim;
}

auto allotment_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (request.account_ == nullptr || !context_->allotments_ || !request.account_->allotment_.limited()) {
    co_await next(request);
    co_return;
  }
  auto started_at = context_->clock_.now();
  auto starts = starts_program(request);
  auto claim = make_claim(request, starts);
  auto decision = co_await context_->allotments_->claim(std::move(claim));
  if (decision.granted_ && !request.metadata_.program_.empty()) {
    sizes_.record(starts, started_at);
  }
  if (decision.granted_ && decision.wait_ > 0) {
    co_await pause_for(*context_->loop_, decision.wait_);
  }
  context_->metrics_->observe("allotment_ms", static_cast<double>(context_->clock_.now() - started_at));
  if (!decision.granted_) {
    auto detail = starts ? "allotment of the client account has no capacity for another program"
                         : "allotment of the client account is exhausted";
    auto reason = error{error_code::account_over_limit, detail, ran_state::not_run, decision.retry_after_};
    co_await refuse(*context_, request, reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

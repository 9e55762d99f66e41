#include "birchlever/gateway/allotment_filter.h"

#include "birchlever/accounts/allotment_policy.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto aim_over_duration = 2;  // A program's aim is about twice its duration on idle upstreams.
constexpr auto usual_program_ms = milliseconds{4000};  // Of programs that tell no aim: some ten turns.

/// The first turn of a program; its sub-agents go on from its turns. A request outside programs stands alone.
auto begins_program(const gateway_request& request) -> bool {
  const auto& facts = request.facts_;
  return facts.program_.empty() || (request.route_->retains_turns_ && facts.previous_turn_.empty());
}

}  // namespace

auto allotment_filter::claim_of(const gateway_request& request, bool begins) const -> allotment_claim {
  auto wanted = allotment_claim{};
  wanted.account_ = request.account_->name_;
  wanted.allotment_ = request.account_->allotment_;
  wanted.begins_program_ = begins;
  if (begins && !request.facts_.program_.empty()) {
    auto aim = request.facts_.program_time_left_;
    wanted.program_requests_ = sizes_.requests();
    wanted.program_ms_ = aim ? *aim / aim_over_duration : usual_program_ms;
  }
  return wanted;
}

auto allotment_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (request.account_ == nullptr || !context_->allotments_ || !request.account_->allotment_.limited()) {
    co_await next(request);
    co_return;
  }
  auto began = context_->clock_.now();
  auto begins = begins_program(request);
  auto wanted = claim_of(request, begins);
  auto verdict = co_await context_->allotments_->claim(std::move(wanted));
  if (verdict.granted_ && !request.facts_.program_.empty()) {
    sizes_.note(begins, began);
  }
  if (verdict.granted_ && verdict.wait_ > 0) {
    co_await pause_for(*context_->loop_, verdict.wait_);
  }
  context_->metrics_->observe("allotment_ms", static_cast<double>(context_->clock_.now() - began));
  if (!verdict.granted_) {
    auto detail = begins ? "the account's allotment has no room for a further program"
                         : "the account's allotment is used up";
    auto reason = error{error_code::account_over_limit, detail, ran_state::not_run, verdict.retry_after_};
    co_await refuse(*context_, request, reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

#include "birchlever/gateway/account_filter.h"

#include <limits>

#include "birchlever/accounts/key_digest.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/gateway/hold_limit.h"
#include "birchlever/gateway/route_filter.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto any_knowledge = std::numeric_limits<milliseconds>::min();  // Where the age does not matter.

constexpr auto holds_in_its_time = 2;  // A request that is no stream is held for a half of its time at most:
                                       // the other half is for its caller's next try.

auto holder_of(const gateway_request& request) -> const client_account* {
  const auto& digest = request.facts_.key_digest_;
  return digest.empty() ? nullptr : request.configuration_->accounts_->holder_of(digest);
}

}  // namespace

auto account_filter::needed_knowledge(const gateway_request& request) const -> milliseconds {
  const auto& trust = context_->freshness_limits_;
  auto known = holder_of(request) != nullptr;
  auto bound = known ? trust.known_key_max_age_ms_ : trust.unknown_key_max_age_ms_;
  return bound > 0 ? request.received_at_ - bound : any_knowledge;
}

auto account_filter::longest_hold(const gateway_request& request) const -> milliseconds {
  if (request.route_->kind_ == route_kind::streaming) {
    return stream_patience(request, context_->freshness_limits_.min_stream_hold_ms_);
  }
  return (request.due_ - request.received_at_) / holds_in_its_time;
}

auto account_filter::hold(gateway_request& request) -> task<status> {
  auto hold_until = request.received_at_ + longest_hold(request);
  auto began = context_->clock_.now();
  auto renewed = co_await context_->freshness_->wait_until_covers(
      needed_knowledge(request), std::max<milliseconds>(hold_until - began, 0));
  context_->metrics_->observe("account_hold_ms", static_cast<double>(context_->clock_.now() - began));
  if (!renewed) {
    co_return error{error_code::configuration_stale,
                    "what is known here of client accounts is too old to judge key " +
                        shown_digest(request.facts_.key_digest_),
                    ran_state::not_run, context_->freshness_limits_.retry_ms_};
  }
  request.configuration_ = context_->configuration_;
  co_return resolve_route(request);
}

auto account_filter::judge(gateway_request& request) -> status {
  if (!request.configuration_->accounts_) {
    return success;
  }
  request.account_ = holder_of(request);
  if (request.account_ != nullptr || request.route_->public_) {
    return success;
  }
  const auto& digest = request.facts_.key_digest_;
  if (digest.empty()) {
    return error{error_code::unauthenticated, "the request carries no key of a client account"};
  }
  return error{error_code::unauthenticated, "no client account holds key " + shown_digest(digest)};
}

auto account_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!request.configuration_->accounts_) {
    co_await next(request);
    co_return;
  }
  auto without_account = request.route_->public_ && holder_of(request) == nullptr;
  auto outcome = status{success};
  if (!without_account && !context_->freshness_->covers(needed_knowledge(request))) {
    outcome = co_await hold(request);
  }
  if (ok(outcome)) {
    outcome = judge(request);
  }
  if (!ok(outcome)) {
    auto reason = failure(outcome);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

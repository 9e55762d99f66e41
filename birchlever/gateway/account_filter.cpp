#include "birchlever/gateway/account_filter.h"

#include <limits>

#include "birchlever/accounts/key_digest.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/gateway/hold_limit.h"
#include "birchlever/gateway/route_filter.h"
#include "birchlever/storage/store_breaker.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto any_time = std::numeric_limits<milliseconds>::min();  // No limit on the age.

constexpr auto hold_divisor = 2;  // Holds other requests than streams for half of their time at most,
                                  // which leaves the caller time for a retry.

auto find_account(const gateway_request& request) -> const client_account* {
  const auto& digest = request.metadata_.key_digest_;
  return digest.empty() ? nullptr : request.configuration_->accounts_->find_by_key_digest(digest);
}

}  // namespace

auto account_filter::min_verified_at(const gateway_request& request) const -> milliseconds {
  const auto& limits = context_->freshness_limits_;
  auto known = find_account(request) != nullptr;
  auto max_age = known ? limits.known_key_max_age_ms_ : limits.unknown_key_max_age_ms_;
  return max_age > 0 ? request.received_at_ - max_age : any_time;
}

auto account_filter::max_hold(const gateway_request& request) const -> milliseconds {
  if (request.route_->kind_ == route_kind::streaming) {
    return max_stream_hold(request, context_->freshness_limits_.min_stream_hold_ms_);
  }
  return (request.deadline_ - request.received_at_) / hold_divisor;
}

auto account_filter::stale_error(const gateway_request& request) -> error {
  auto stale = error{error_code::configuration_stale,
                     "client account configuration is too old to authenticate key " +
                         abbreviated_digest(request.metadata_.key_digest_),
                     ran_state::not_run, context_->freshness_limits_.retry_ms_};
  auto outage = context_->freshness_->expected_outage();
  if (outage > 0) {
    auto jitter = std::uniform_real_distribution<double>{0, 1}(random_);
    auto time_left = request.deadline_ - context_->clock_.now();
    stale.detail_ += "; store is unreachable, expected for " + std::to_string(outage) + " ms more";
    stale.retry_after_ms_ = retry_after_outage(outage, time_left, jitter);
  }
  return stale;
}

auto account_filter::wait_for_configuration(gateway_request& request) -> task<status> {
  auto hold_until = request.received_at_ + max_hold(request);
  auto started_at = context_->clock_.now();
  auto verified = co_await context_->freshness_->wait_until_covers(
      min_verified_at(request), std::max<milliseconds>(hold_until - started_at, 0));
  context_->metrics_->observe("account_hold_ms", static_cast<double>(context_->clock_.now() - started_at));
  if (!verified) {
    co_return stale_error(request);
  }
  request.configuration_ = context_->configuration_;
  co_return resolve_route(request);
}

auto account_filter::authenticate(gateway_request& request) -> status {
  if (!request.configuration_->accounts_) {
    return success;
  }
  request.account_ = find_account(request);
  if (request.account_ != nullptr || request.route_->public_) {
    return success;
  }
  const auto& digest = request.metadata_.key_digest_;
  if (digest.empty()) {
    return error{error_code::unauthenticated, "missing client account key"};
  }
  return error{error_code::unauthenticated, "unknown client account key " + abbreviated_digest(digest)};
}

auto account_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!request.configuration_->accounts_) {
    co_await next(request);
    co_return;
  }
  auto without_account = request.route_->public_ && find_account(request) == nullptr;
  auto outcome = status{success};
  if (!without_account && !context_->freshness_->covers(min_verified_at(request))) {
    outcome = co_await wait_for_configuration(request);
  }
  if (ok(outcome)) {
    outcome = authenticate(request);
  }
  if (!ok(outcome)) {
    auto reason = failure(outcome);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

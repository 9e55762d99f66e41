/// Authenticates requests by their key, using a configuration that is recent enough.
#pragma once

#include <random>

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

/// Responds with 401 to a missing or unknown key, and with 503 if the configuration is not refreshed within
/// the hold limit, at once if an outage of the store is expected to last longer. Public routes need no key.
/// Requests that wait share one poll of the configuration; none reads the store itself. If the configuration
/// defines no accounts, every request passes.
class account_filter final : public gateway_filter {
 public:
  explicit account_filter(std::shared_ptr<gateway_context> context)
      : context_{std::move(context)}, random_{std::random_device{}()} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  /// Returns the earliest time, on the local clock, at which the configuration must have been verified.
  [[nodiscard]] auto min_verified_at(const gateway_request& request) const -> milliseconds;

  /// Returns how long after its arrival a request may wait for a newer configuration, in ms.
  [[nodiscard]] auto max_hold(const gateway_request& request) const -> milliseconds;
  auto wait_for_configuration(gateway_request& request) -> task<status>;

  /// Returns the error of a request whose configuration is too old.
  auto stale_error(const gateway_request& request) -> error;
  static auto authenticate(gateway_request& request) -> status;

  std::shared_ptr<gateway_context> context_;
  std::minstd_rand random_;  ///< For jitter of Retry-After.
};

}  // namespace birchlever

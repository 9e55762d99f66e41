/// Client account: credentials, priority and limits of a sender of requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace birchlever {

/// Rate limit of one account across all daemons. Turns, tool calls and retries each count as one request.
struct account_allotment {
  double rate_per_s_ = 0;  ///< Requests per second; 0 means unlimited.
  double burst_ = 0;       ///< Requests allowed on top of the rate.

  [[nodiscard]] auto limited() const -> bool { return rate_per_s_ > 0; }

  /// Returns the maximum number of requests within any period of the given length.
  [[nodiscard]] auto max_requests_in(double seconds) const -> double {
    return rate_per_s_ * seconds + burst_;
  }
};

/// Configuration of one account. Validated by `account_registry`.
struct client_account {
  std::string name_;
  std::vector<std::string> key_digests_;  ///< Hexadecimal SHA-256 digests of its keys.
  std::optional<int> rank_;               ///< Priority, 0 being the highest; overrides the route's rank.
  account_allotment allotment_;
  std::int64_t max_in_flight_ = 256;          ///< Maximum number of concurrent calls per `serve` daemon.
  std::vector<std::string> allowed_regions_;  ///< Regions that may serve it; empty for no restriction.
};

}  // namespace birchlever

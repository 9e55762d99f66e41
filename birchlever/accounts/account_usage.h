/// Request counters per client account, exported as a bounded number of metrics.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "birchlever/accounts/account_registry.h"

namespace birchlever {

/// Counts requests by account and HTTP status. Not thread-safe; use from one event loop.
class account_usage {
 public:
  /// Records a finished request. `status` is 0 if no status was sent to the caller.
  auto record(const std::string& account, int status) -> void;

  /// Returns the counters in Prometheus text format: the `max_accounts` accounts with the most requests, each
  /// with its requests by status and its abbreviated key digests, and the sum of all others. `registry` may
  /// be null.
  [[nodiscard]] auto to_prometheus(const account_registry* registry, std::size_t max_accounts) const
      -> std::string;

 private:
  struct counts {
    std::int64_t requests_ = 0;
    std::map<int, std::int64_t> by_status_;
  };

  static auto add(counts& sum, const counts& added) -> void;

  std::unordered_map<std::string, counts> accounts_;
};

}  // namespace birchlever

/// Allotment policy that divides every allotment equally among all daemons. Needs no communication and holds
/// during network partitions, but refuses requests within the allotment if an account's traffic is unevenly
/// distributed.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "birchlever/accounts/allotment_policy.h"

namespace birchlever {

/// Settings of equal_shares.
struct equal_shares_settings {
  milliseconds window_ = 5000;  ///< Length in ms of the sliding window in which requests are counted.
  double granted_share_ = 1;    ///< Fraction of this daemon's share that may be granted.
  double started_program_reserve_ = 0.5;  ///< Fraction reserved for requests of started programs.
};

/// Not thread-safe; use from one event loop.
class equal_shares final : public allotment_policy {
 public:
  /// Returns the number of daemons, this one included.
  using count_function = std::function<std::int64_t()>;

  equal_shares(const equal_shares_settings& settings, count_function daemons,
               std::shared_ptr<const clock_interface> clock)
      : settings_{settings}, daemons_{std::move(daemons)}, clock_{std::move(clock)} {}

  auto claim(allotment_claim request) -> task<allotment_decision> override;

  /// Synchronous form of claim().
  auto decide(const allotment_claim& request) -> allotment_decision;

  /// Records a request that another daemon granted and this daemon forwards.
  auto record_granted(const std::string& account) -> void;

 private:
  using grant_times = std::deque<milliseconds>;

  auto recent_grants(const std::string& account) -> grant_times&;

  equal_shares_settings settings_;
  count_function daemons_;
  std::shared_ptr<const clock_interface> clock_;
  std::unordered_map<std::string, grant_times> granted_;  ///< Grant times within the window, by account.
};

}  // namespace birchlever

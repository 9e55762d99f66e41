/// Every daemon grants an equal part of each account's allotment, whatever the others do: needs no message
/// and holds when daemons do not reach each other, but refuses where an account's requests do not come
/// evenly.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "birchlever/accounts/allotment_policy.h"

namespace birchlever {

/// How shares are kept.
struct equal_shares_settings {
  milliseconds window_ =
      5000;          ///< ms of the sliding window in which an allotment is counted: the platform's.
  double part_ = 1;  ///< Of every share that is granted.
  double begun_reserve_ = 0.5;  ///< Share of what may be granted that is kept for programs that have begun.
};

/// For coroutines of one loop.
class equal_shares final : public allotment_policy {
 public:
  /// Yields how many daemons there are, this one included.
  using count_function = std::function<std::int64_t()>;

  equal_shares(const equal_shares_settings& settings, count_function daemons,
               std::shared_ptr<const clock_interface> clock)
      : settings_{settings}, daemons_{std::move(daemons)}, clock_{std::move(clock)} {}

  auto claim(allotment_claim wanted) -> task<allotment_verdict> override;

  /// Likewise, at once.
  auto decide(const allotment_claim& wanted) -> allotment_verdict;

  /// A request of the account was granted by someone else and runs through this daemon.
  auto note_granted(const std::string& account) -> void;

 private:
  using moments = std::deque<milliseconds>;

  auto recent(const std::string& account) -> moments&;

  equal_shares_settings settings_;
  count_function daemons_;
  std::shared_ptr<const clock_interface> clock_;
  std::unordered_map<std::string, moments> granted_;  ///< When, by account; within the window.
};

}  // namespace birchlever

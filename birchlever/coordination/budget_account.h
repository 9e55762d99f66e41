/// One program's budget, spent from slices that are durable before anything is spent from them.
#pragma once

#include <cstdint>
#include <optional>

namespace birchlever {

/// Counts tokens. Invariant: settled + in flight + held <= budget, and nothing is dispatched unless that sum
/// is within the durable reservation. After a takeover all that was reserved but not settled is held, since
/// calls of the earlier epoch may have spent it.
class budget_account {
 public:
  budget_account() = default;

  /// An account of a new program.
  explicit budget_account(std::int64_t budget) : budget_{budget} {}

  /// Tokens that could still be promised to a call.
  [[nodiscard]] auto remaining() const -> std::int64_t;

  /// Promises the cost to a call. False when the budget does not allow it.
  auto begin(std::int64_t cost) -> bool;

  /// Takes a promise back; nothing was spent.
  auto cancel(std::int64_t cost) -> void;

  /// The reservation to make durable before the promises made so far may be spent, with a slice ahead;
  /// empty when the durable reservation covers them.
  [[nodiscard]] auto needed_reservation(std::int64_t slice) const -> std::optional<std::int64_t>;

  /// True when the durable reservation covers every promise made.
  [[nodiscard]] auto covered() const -> bool;

  /// A higher reservation became durable.
  auto reserved_durably(std::int64_t reserved) -> void;

  /// A call that was promised `cost` in this epoch spent `tokens`.
  auto settle(std::int64_t cost, std::int64_t tokens) -> void;

  /// A call of an earlier epoch that could have spent `cost` reports that it spent `tokens`.
  auto settle_held(std::int64_t cost, std::int64_t tokens) -> void;

  /// Spending read from the journal during recovery.
  auto recover_settled(std::int64_t tokens) -> void { settled_ += tokens; }

  /// Ends recovery: what was reserved and not settled may have been spent by calls no one answers for.
  auto hold_unsettled() -> void;

  [[nodiscard]] auto budget() const -> std::int64_t { return budget_; }
  [[nodiscard]] auto reserved() const -> std::int64_t { return reserved_; }
  [[nodiscard]] auto settled() const -> std::int64_t { return settled_; }
  [[nodiscard]] auto held() const -> std::int64_t { return held_; }
  [[nodiscard]] auto in_flight() const -> std::int64_t { return in_flight_; }

 private:
  [[nodiscard]] auto promised() const -> std::int64_t { return settled_ + in_flight_ + held_; }

  std::int64_t budget_ = 0;
  std::int64_t reserved_ = 0;
  std::int64_t settled_ = 0;
  std::int64_t in_flight_ = 0;
  std::int64_t held_ = 0;
};

}  // namespace birchlever

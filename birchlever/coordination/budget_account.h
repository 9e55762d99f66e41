/// Token budget of one program. Reservations are made durable in slices before their tokens are spent.
#pragma once

#include <cstdint>
#include <optional>

namespace birchlever {

/// Counts tokens. Invariants: settled + in flight + held <= budget, and no call is dispatched unless that sum
/// is within the durable reservation. After a takeover all tokens that are reserved but not settled are held,
/// since calls of the previous epoch may have spent them.
class budget_account {
 public:
  budget_account() = default;

  explicit budget_account(std::int64_t budget) : budget_{budget} {}

  /// Returns the tokens that can still be committed to calls.
  [[nodiscard]] auto remaining() const -> std::int64_t;

  /// Commits tokens for the cost of a call. Returns false if it exceeds the remaining budget.
  auto commit(std::int64_t cost) -> bool;

  /// Reverts the commitment for a call that spent nothing.
  auto cancel(std::int64_t cost) -> void;

  /// Returns the reservation to make durable before the committed tokens may be spent, including one slice
  /// ahead; empty if the durable reservation covers them.
  [[nodiscard]] auto needed_reservation(std::int64_t slice) const -> std::optional<std::int64_t>;

  /// Returns true if the durable reservation covers all committed tokens.
  [[nodiscard]] auto covered() const -> bool;

  /// Records a reservation that became durable; lower values are ignored.
  auto record_reservation(std::int64_t reserved) -> void;

  /// Settles a call of this epoch that `cost` was committed for and that spent `tokens`.
  auto settle(std::int64_t cost, std::int64_t tokens) -> void;

  /// Settles a call of an earlier epoch that could have spent `cost` and spent `tokens`.
  auto settle_held(std::int64_t cost, std::int64_t tokens) -> void;

  /// Adds tokens read from the journal during recovery.
  auto recover_settled(std::int64_t tokens) -> void { settled_ += tokens; }

  /// Ends recovery: holds the tokens that are reserved but not settled, since calls of earlier epochs may
  /// have spent them.
  auto hold_unsettled() -> void;

  [[nodiscard]] auto budget() const -> std::int64_t { return budget_; }
  [[nodiscard]] auto reserved() const -> std::int64_t { return reserved_; }
  [[nodiscard]] auto settled() const -> std::int64_t { return settled_; }
  [[nodiscard]] auto held() const -> std::int64_t { return held_; }
  [[nodiscard]] auto in_flight() const -> std::int64_t { return in_flight_; }

 private:
  [[nodiscard]] auto committed() const -> std::int64_t { return settled_ + in_flight_ + held_; }

  std::int64_t budget_ = 0;
  std::int64_t reserved_ = 0;
  std::int64_t settled_ = 0;
  std::int64_t in_flight_ = 0;
  std::int64_t held_ = 0;
};

}  // namespace birchlever

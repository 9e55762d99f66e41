/// What one holder has of a memory budget.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "birchlever/core/clock.h"

namespace birchlever {

class memory_budget;

/// Released when the object goes.
class memory_claim {
 public:
  ~memory_claim();
  memory_claim(const memory_claim&) = delete;
  auto operator=(const memory_claim&) -> memory_claim& = delete;

  /// Sets what the holder has, in bytes, and counts as progress. May revoke this claim or others.
  auto resize(std::size_t bytes) -> void;

  /// Lets the budget revoke the claim when the limit is exceeded and the claim has not been resized for
  /// `min_idle` ms: `revoke` is called once, has to give the memory up soon and must not open or close
  /// claims.
  auto allow_revocation(std::function<void()> revoke, milliseconds min_idle = 0) -> void;

  /// Suspends or resumes what allow_revocation permitted. Resuming counts as progress.
  auto set_revocable(bool revocable) -> void;

  /// True once the budget has revoked the claim.
  [[nodiscard]] auto revoked() const -> bool { return revoked_; }

  /// Marks the claim as one that waits for room before it grows further, until it is released: what went on
  /// beyond the limit holds that memory as long.
  auto wait_for_room() -> void;

  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }

 private:
  friend class memory_budget;

  memory_claim(std::shared_ptr<memory_budget> budget, std::int64_t number, milliseconds now)
      : budget_{std::move(budget)}, number_{number}, progress_at_{now} {}

  std::shared_ptr<memory_budget> budget_;
  std::int64_t number_;  ///< In the order in which claims were opened.
  milliseconds progress_at_;
  std::size_t bytes_ = 0;
  std::function<void()> revoke_;
  milliseconds min_idle_ = 0;
  bool revocable_ = true;
  bool revoked_ = false;
};

}  // namespace birchlever

/// One limit for the sum of what a process holds for others: bodies that are being read, requests under way,
/// responses for slow readers. Limits of each single one cannot keep a process within its memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>

#include "birchlever/core/clock.h"

namespace birchlever {

class memory_claim;

/// For one thread. Its claims keep it.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
 public:
  /// A limit that holds where the memory of the machine is not known.
  static constexpr auto standard_limit = std::size_t{128U << 20U};

  /// `limit` is in bytes.
  static auto create(std::size_t limit = standard_limit,
                     std::shared_ptr<const clock_interface> clock = std::make_shared<steady_clock>())
      -> std::shared_ptr<memory_budget>;

  /// Makes a claim of 0 bytes.
  auto open_claim() -> std::unique_ptr<memory_claim>;

  /// True while no more than the limit is held.
  [[nodiscard]] auto has_room() const -> bool { return held_ <= limit_; }

  /// True if a claim can grow to `bytes` within the limit.
  [[nodiscard]] auto has_room_for(const memory_claim& claim, std::size_t bytes) const -> bool;

  /// True if the claim is the oldest one of those that wait for room: it may go on beyond the limit, so that
  /// something always does.
  [[nodiscard]] auto may_exceed(const memory_claim& claim) const -> bool;

  /// Revokes claims until the limit holds: first those that hold most for longest without progress. Done at
  /// each growth of a claim; to be called too by what waits for room, since claims become revocable with
  /// time.
  auto make_room() -> void;

  [[nodiscard]] auto held() const -> std::size_t { return held_; }
  [[nodiscard]] auto limit() const -> std::size_t { return limit_; }

  /// Claims revoked so far.
  [[nodiscard]] auto revoked() const -> std::int64_t { return revoked_; }

 private:
  friend class memory_claim;

  memory_budget(std::size_t limit, std::shared_ptr<const clock_interface> clock);

  auto find_victim() const -> memory_claim*;

  std::size_t limit_;
  std::shared_ptr<const clock_interface> clock_;
  std::size_t held_ = 0;
  std::int64_t revoked_ = 0;
  std::int64_t opened_ = 0;
  std::set<memory_claim*> claims_;
  std::set<std::int64_t> waiting_;  ///< Numbers of the claims that wait for room.
};

}  // namespace birchlever

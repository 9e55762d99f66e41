#include "birchlever/core/memory_budget.h"

#include <utility>

#include "birchlever/core/memory_claim.h"

namespace birchlever {

memory_budget::memory_budget(std::size_t limit, std::shared_ptr<const clock_interface> clock)
    : limit_{limit}, clock_{std::move(clock)} {}

auto memory_budget::create(std::size_t limit, std::shared_ptr<const clock_interface> clock)
    -> std::shared_ptr<memory_budget> {
  return std::shared_ptr<memory_budget>{new memory_budget{limit, std::move(clock)}};
}

auto memory_budget::open_claim() -> std::unique_ptr<memory_claim> {
  auto made = std::unique_ptr<memory_claim>{new memory_claim{shared_from_this(), opened_++, clock_->now()}};
  claims_.insert(made.get());
  return made;
}

auto memory_budget::has_room_for(const memory_claim& claim, std::size_t bytes) const -> bool {
  return held_ - claim.bytes_ + bytes <= limit_;
}

auto memory_budget::may_exceed(const memory_claim& claim) const -> bool {
  return !waiting_.empty() && *waiting_.begin() == claim.number_;
}

auto memory_budget::find_victim() const -> memory_claim* {
  auto now = clock_->now();
  auto* victim = static_cast<memory_claim*>(nullptr);
  auto highest = 0.0;
  for (auto* claim : claims_) {
    auto idle = now - claim->progress_at_;
    if (!claim->revoke_ || !claim->revocable_ || claim->bytes_ == 0 || idle < claim->min_idle_) {
      continue;
    }
    // A claim that was resized a moment ago still has a weight.
    auto weight = static_cast<double>(claim->bytes_) * static_cast<double>(idle + 1);
    if (weight > highest) {
      highest = weight;
      victim = claim;
    }
  }
  return victim;
}

auto memory_budget::make_room() -> void {
  while (!has_room()) {
    auto* victim = find_victim();
    if (victim == nullptr) {
      return;
    }
    held_ -= victim->bytes_;
    victim->bytes_ = 0;
    victim->revoked_ = true;
    waiting_.erase(victim->number_);
    ++revoked_;
    std::exchange(victim->revoke_, nullptr)();
  }
}

memory_claim::~memory_claim() {
  budget_->waiting_.erase(number_);
  budget_->held_ -= bytes_;
  budget_->claims_.erase(this);
}

auto memory_claim::resize(std::size_t bytes) -> void {
  if (revoked_) {
    return;
  }
  budget_->held_ += bytes;
  budget_->held_ -= bytes_;
  bytes_ = bytes;
  progress_at_ = budget_->clock_->now();
  budget_->make_room();
}

auto memory_claim::allow_revocation(std::function<void()> revoke, milliseconds min_idle) -> void {
  revoke_ = std::move(revoke);
  min_idle_ = min_idle;
}

auto memory_claim::set_revocable(bool revocable) -> void {
  revocable_ = revocable;
  progress_at_ = budget_->clock_->now();
}

auto memory_claim::wait_for_room() -> void {
  budget_->waiting_.insert(number_);
}

}  // namespace birchlever

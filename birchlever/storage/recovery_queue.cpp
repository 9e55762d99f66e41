#include "birchlever/storage/recovery_queue.h"

#include <algorithm>

namespace birchlever {
namespace {

// The recovery wakes many calls at once. The first is admitted after this time, when all of them are queued.
constexpr auto grouping_time = milliseconds{2};

}  // namespace

/// A waiting call.
struct recovery_queue::waiter {
  waiter(event_loop& loop, double cost) : cost_{cost}, changed_{loop} {}

  double cost_;
  bool admitted_ = false;
  bool released_ = false;  ///< No longer queued.
  loop_signal changed_;
};

auto recovery_queue::waiting() const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& queue : queues_) {
    count += queue.size();
  }
  return count;
}

auto recovery_queue::expected_wait(write_priority priority, double cost) const -> milliseconds {
  if (breaker_->state() != breaker_state::ramp) {
    return 0;
  }
  auto total = cost;
  for (auto index = std::size_t{0}; index <= static_cast<std::size_t>(priority); ++index) {
    for (const auto& queued : queues_.at(index)) {
      total += queued->cost_;
    }
  }
  return breaker_->ramp_wait(total, clock_.now());
}

auto recovery_queue::enter(write_priority priority, double cost, milliseconds limit) -> task<bool> {
  if (breaker_->state() == breaker_state::closed) {
    co_return true;
  }
  if (breaker_->is_open()) {
    co_return false;
  }
  auto entry = std::make_shared<waiter>(*loop_, cost);
  auto& queue = queues_.at(static_cast<std::size_t>(priority));
  auto position = queue.insert(queue.end(), entry);
  if (!std::exchange(admitting_, true)) {
    start(*loop_, "admit_recovering", admit_waiters());
  }
  co_await entry->changed_.wait_for(limit);
  if (!entry->released_) {
    queue.erase(position);
  }
  co_return entry->admitted_;
}

auto recovery_queue::next_queue() -> std::list<waiter_pointer>* {
  auto found =
      std::find_if(queues_.begin(), queues_.end(), [](const auto& queued) { return !queued.empty(); });
  return found == queues_.end() ? nullptr : &*found;
}

auto recovery_queue::release_next(std::list<waiter_pointer>& queue, bool admitted) -> void {
  auto next = queue.front();
  queue.pop_front();
  next->released_ = true;
  next->admitted_ = admitted;
  next->changed_.notify();
}

auto recovery_queue::reject_all() -> void {
  while (auto* queue = next_queue()) {
    release_next(*queue, false);
  }
  rejected_.notify();
}

auto recovery_queue::admit_waiters() -> task<> {
  co_await pause_for(*loop_, grouping_time);
  while (auto* queue = next_queue()) {
    if (breaker_->is_open()) {
      reject_all();
      break;
    }
    auto cost = queue->front()->cost_;
    auto wait = breaker_->ramp_wait(cost, clock_.now());
    if (wait > 0) {
      co_await rejected_.wait_for(wait);
      continue;
    }
    breaker_->record_admitted(cost);
    release_next(*queue, true);
  }
  admitting_ = false;
}

}  // namespace birchlever

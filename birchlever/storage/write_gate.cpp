#include "birchlever/storage/write_gate.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;

}  // namespace

/// A queued write.
struct write_gate::waiter {
  explicit waiter(event_loop& loop) : changed_{loop} {}

  bool admitted_ = false;
  loop_signal changed_;
};

auto write_gate::waiting() const -> std::size_t {
  return ahead_of(write_priority::cleanup);
}

auto write_gate::ahead_of(write_priority priority) const -> std::size_t {
  auto ahead = std::size_t{0};
  for (auto index = std::size_t{0}; index <= static_cast<std::size_t>(priority); ++index) {
    ahead += queues_.at(index).size();
  }
  return ahead;
}

auto write_gate::expected_wait(write_priority priority) const -> milliseconds {
  auto now = clock_.now();
  auto allowed = pace_.rate(now);
  if (!allowed) {
    return 0;
  }
  auto queued = static_cast<double>(ahead_of(priority)) / *allowed * ms_per_second;
  return pace_.wait(now) + static_cast<milliseconds>(queued);
}

auto write_gate::enter(write_priority priority, milliseconds limit) -> task<bool> {
  auto now = clock_.now();
  if (ahead_of(priority) == 0 && pace_.wait(now) == 0) {
    pace_.record_sent(now);
    co_return true;
  }
  if (expected_wait(priority) > limit) {
    co_return false;
  }
  auto entry = std::make_shared<waiter>(*loop_);
  auto& queue = queues_.at(static_cast<std::size_t>(priority));
  auto position = queue.insert(queue.end(), entry);
  if (!std::exchange(admitting_, true)) {
    start(*loop_, "admit_waiters", admit_waiters());
  }
  co_await entry->changed_.wait_for(limit);
  if (!entry->admitted_) {
    queue.erase(position);
  }
  co_return entry->admitted_;
}

auto write_gate::admit_waiters() -> task<> {
  while (waiting() > 0) {
    auto wait = pace_.wait(clock_.now());
    if (wait > 0) {
      co_await pause_for(*loop_, wait);
      continue;
    }
    auto queue =
        std::find_if(queues_.begin(), queues_.end(), [](const auto& queued) { return !queued.empty(); });
    auto next = queue->front();
    queue->pop_front();
    pace_.record_sent(clock_.now());
    next->admitted_ = true;
    next->changed_.notify();
  }
  admitting_ = false;
}

}  // namespace birchlever

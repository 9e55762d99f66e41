/// Priority queue for store calls while the circuit breaker limits their rate after an outage.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <memory>

#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"
#include "birchlever/storage/store_breaker.h"

namespace birchlever {

/// Serves the coroutines of one event loop. Not thread safe.
class recovery_queue {
 public:
  /// `breaker` must outlive the queue.
  recovery_queue(event_loop& loop, store_breaker& breaker)
      : loop_{&loop}, breaker_{&breaker}, rejected_{loop} {}

  /// Waits up to `limit` ms until a call of a cost of `cost` writes may be sent. Returns false on timeout,
  /// and at once if the breaker opens. Calls are admitted by priority, each in FIFO order.
  auto enter(write_priority priority, double cost, milliseconds limit) -> task<bool>;

  /// Rejects all waiting calls. Must be called when the breaker opens.
  auto reject_all() -> void;

  /// Returns how long in ms a call of this priority and cost would currently wait.
  [[nodiscard]] auto expected_wait(write_priority priority, double cost) const -> milliseconds;

  /// Returns the number of waiting calls.
  [[nodiscard]] auto waiting() const -> std::size_t;

 private:
  struct waiter;
  using waiter_pointer = std::shared_ptr<waiter>;

  auto admit_waiters() -> task<>;
  auto next_queue() -> std::list<waiter_pointer>*;
  auto release_next(std::list<waiter_pointer>& queue, bool admitted) -> void;

  event_loop* loop_;
  store_breaker* breaker_;
  steady_clock clock_;
  std::array<std::list<waiter_pointer>, write_priority_count> queues_;  ///< By priority, each in FIFO order.
  loop_signal rejected_;
  bool admitting_ = false;
};

}  // namespace birchlever

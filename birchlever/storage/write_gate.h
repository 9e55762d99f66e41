/// Priority queue for store writes while the store is rate limiting this daemon. A write that is not expected
/// to be admitted within its time limit is rejected immediately.
///
/// Writes that end a turn go first, since its response has been generated already; then turns of started
/// programs, new programs, programs that should have ended already, and cleanup.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <memory>

#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/call_pace.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Serves the coroutines of one event loop. Not thread safe.
class write_gate {
 public:
  explicit write_gate(event_loop& loop, const call_pace_settings& settings = {})
      : loop_{&loop}, pace_{settings} {}

  /// Waits up to `limit` ms until a write may be sent. Returns false on timeout, and immediately if the
  /// expected wait exceeds the limit.
  auto enter(write_priority priority, milliseconds limit) -> task<bool>;

  /// Returns how long in ms a write of this priority would currently wait.
  [[nodiscard]] auto expected_wait(write_priority priority) const -> milliseconds;

  /// Records that the store refused a write because of its rate limit.
  auto record_refused() -> void { pace_.record_refused(clock_.now()); }

  /// Sets the store's total rate in writes per second and the number of daemons sharing it.
  auto set_fleet_capacity(double per_s, std::int64_t daemons) -> void {
    pace_.set_fleet_capacity(per_s, daemons);
  }

  /// Returns the number of queued writes.
  [[nodiscard]] auto waiting() const -> std::size_t;

 private:
  struct waiter;
  using waiter_pointer = std::shared_ptr<waiter>;

  auto admit_waiters() -> task<>;
  [[nodiscard]] auto ahead_of(write_priority priority) const -> std::size_t;

  event_loop* loop_;
  steady_clock clock_;
  call_pace pace_;
  std::array<std::list<waiter_pointer>, write_priority_count> queues_;  ///< By priority, each in FIFO order.
  bool admitting_ = false;
};

}  // namespace birchlever

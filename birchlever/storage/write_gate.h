/// Where writes of the store wait for their turn while the store refuses some for being too many. Those that
/// are worth most go first: what ends a turn, whose answer is made already, before what begins one, turns of
/// begun programs before those of new ones, and last those of programs that should have ended already. Nobody
/// waits who could not be served in time.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <memory>

#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/call_pace.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// For coroutines of one loop.
class write_gate {
 public:
  explicit write_gate(event_loop& loop, const call_pace_settings& settings = {})
      : loop_{&loop}, pace_{settings} {}

  /// Waits for a place, at most so long. False: there was none, or it is known at once that there will be
  /// none.
  auto enter(write_rank rank, milliseconds limit) -> task<bool>;

  /// How long a write of this rank would wait, in ms, as things stand.
  [[nodiscard]] auto expected_wait(write_rank rank) const -> milliseconds;

  /// The store refused a write for being one too many.
  auto note_refused() -> void { pace_.note_refused(clock_.now()); }

  /// The store takes so many writes a second from so many daemons together.
  auto set_fleet(double per_s, std::int64_t daemons) -> void { pace_.set_fleet(per_s, daemons); }

  /// Writes that wait now.
  [[nodiscard]] auto waiting() const -> std::size_t;

 private:
  struct waiter;
  using waiter_pointer = std::shared_ptr<waiter>;

  auto let_in() -> task<>;
  [[nodiscard]] auto ahead_of(write_rank rank) const -> std::size_t;

  event_loop* loop_;
  steady_clock clock_;
  call_pace pace_;
  std::array<std::list<waiter_pointer>, write_ranks> queues_;  ///< By rank, the earliest first.
  bool letting_in_ = false;
};

}  // namespace birchlever

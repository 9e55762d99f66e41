/// Tracks how recently the local configuration was verified against the store.
///
/// A poll's result is only known to be valid as of the start of the poll. A revoked key is therefore accepted
/// for at most the age of the last successful poll. Requests that need a more recent configuration wait for
/// the next poll, since rejecting them at once would exhaust their callers' retries during a short outage.
#pragma once

#include <functional>
#include <optional>

#include "birchlever/core/clock.h"
#include "birchlever/http/loop_signal.h"

namespace birchlever {

/// For coroutines of a single event loop; not thread-safe.
class configuration_freshness {
 public:
  explicit configuration_freshness(event_loop& loop) : changed_{loop} {}

  /// Records a successful poll that started at `started_at` on the local clock, after its result was applied.
  auto record_poll(milliseconds started_at) -> void;

  /// Returns the start of the latest successful poll, or nothing before the first one.
  [[nodiscard]] auto verified_at() const -> std::optional<milliseconds> { return verified_at_; }

  /// Returns true if the configuration was verified at or after `time` on the local clock.
  [[nodiscard]] auto covers(milliseconds time) const -> bool { return verified_at_ && *verified_at_ >= time; }

  /// Waits for at most `limit` ms until the configuration covers `time`, but not longer than an outage of the
  /// store may end within the limit. Returns whether the configuration covers `time`.
  auto wait_until_covers(milliseconds time, milliseconds limit) -> task<bool>;

  /// Returns true while any request waits.
  [[nodiscard]] auto has_waiters() const -> bool { return waiters_ > 0; }

  /// Returns the expected remaining time in ms of the store's current outage, 0 if none is known.
  [[nodiscard]] auto expected_outage() const -> milliseconds {
    return expected_outage_ ? expected_outage_() : 0;
  }

  /// Sets the function that estimates the remaining time of an outage of the store.
  auto set_expected_outage(std::function<milliseconds()> estimate) -> void {
    expected_outage_ = std::move(estimate);
  }

  /// Sets a callback for when a request starts to wait and no other does. It should poll the store at once.
  auto on_first_waiter(std::function<void()> callback) -> void { on_first_waiter_ = std::move(callback); }

 private:
  steady_clock clock_;
  std::optional<milliseconds> verified_at_;
  loop_signal changed_;
  std::function<void()> on_first_waiter_;
  std::function<milliseconds()> expected_outage_;  ///< May be empty.
  int waiters_ = 0;
  bool stale_ = false;  ///< Whether a request has waited since the last successful poll.
};

}  // namespace birchlever

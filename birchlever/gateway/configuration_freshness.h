/// Since when this daemon's knowledge of the configuration is sure, and requests that wait for newer
/// knowledge.
///
/// What an answered look at the store shows was true when the look began, however late its answer came. So a
/// key that was taken away is honoured at most for the age of the last answered look. A request whose bound
/// on that age is passed is held until a newer look answers: refusing it at once would burn its caller's few
/// tries within a second of an outage.
#pragma once

#include <functional>
#include <optional>

#include "birchlever/core/clock.h"
#include "birchlever/http/loop_signal.h"

namespace birchlever {

/// For coroutines of one loop.
class configuration_freshness {
 public:
  explicit configuration_freshness(event_loop& loop) : changed_{loop} {}

  /// A look that began at this moment of our clock was answered, and what it told is in force here.
  auto record_poll(milliseconds began_at) -> void;

  /// The latest such moment; none before the first look.
  [[nodiscard]] auto verified_at() const -> std::optional<milliseconds> { return sure_at_; }

  /// True when the knowledge is at least as new as a moment of our clock.
  [[nodiscard]] auto covers(milliseconds moment) const -> bool { return sure_at_ && *sure_at_ >= moment; }

  /// Waits until the knowledge covers a moment, for `limit` ms at most. True when it does.
  auto wait_until_covers(milliseconds moment, milliseconds limit) -> task<bool>;

  /// True while a request waits.
  [[nodiscard]] auto has_waiters() const -> bool { return waiting_ > 0; }

  /// Called when a request begins to wait and none did before: then the store is to be asked at once.
  auto on_first_waiter(std::function<void()> callback) -> void { on_wanted_ = std::move(callback); }

 private:
  steady_clock clock_;
  std::optional<milliseconds> sure_at_;
  loop_signal changed_;
  std::function<void()> on_wanted_;
  int waiting_ = 0;
  bool too_old_ = false;  ///< A request had to wait since the last look.
};

}  // namespace birchlever

/// The model's time: actions in order of their moments, and a clock that stands at the present one.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever::model {

/// Runs actions in order of time, those of one moment in the order in which they were added. Not thread safe.
class event_queue {
 public:
  using action = std::function<void()>;

  /// Adds an action `delay_ms` from now.
  auto after(double delay_ms, action what) -> void {
    events_.push({now_ms_ + std::max(delay_ms, 0.0), ++added_, std::move(what)});
  }

  /// Runs what is due until a moment, in ms from the start.
  auto run_until(double end_ms) -> void {
    while (!events_.empty() && events_.top().at_ms_ <= end_ms) {
      auto next = events_.top();
      events_.pop();
      move_to(next.at_ms_);
      next.what_();
    }
    move_to(end_ms);
  }

  /// ms from the start.
  [[nodiscard]] auto now_ms() const -> double { return now_ms_; }

  /// The present in whole ms, for the product's own code.
  [[nodiscard]] auto clock() const -> std::shared_ptr<const clock_interface> { return clock_; }

 private:
  struct event {
    double at_ms_ = 0;
    std::int64_t order_ = 0;
    action what_;

    auto operator<(const event& other) const -> bool {
      return at_ms_ == other.at_ms_ ? order_ > other.order_ : at_ms_ > other.at_ms_;
    }
  };

  /// The product takes the moment 0 for "never".
  static constexpr auto first_moment = milliseconds{100000};

  auto move_to(double moment_ms) -> void {
    now_ms_ = std::max(now_ms_, moment_ms);
    clock_->advance(first_moment + static_cast<milliseconds>(now_ms_) - clock_->now());
  }

  std::priority_queue<event> events_;
  std::int64_t added_ = 0;
  double now_ms_ = 0;
  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
};

}  // namespace birchlever::model

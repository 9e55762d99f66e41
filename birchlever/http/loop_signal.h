/// Lets coroutines of one loop wait until another one says that something changed.
#pragma once

#include <list>

#include "birchlever/http/task.h"

namespace birchlever {

/// Not thread safe: for coroutines of one event loop. Waiters check their condition before they wait.
class loop_signal {
 public:
  explicit loop_signal(event_loop& loop) : loop_{&loop} {}

  loop_signal(const loop_signal&) = delete;
  auto operator=(const loop_signal&) -> loop_signal& = delete;

  /// Wakes every coroutine that waits now.
  auto notify() -> void {
    for (auto* timer : waiting_) {
      timer->cancel();
    }
  }

  /// Waits for the next notify, at most so long. True when notified.
  auto wait_for(milliseconds limit) -> task<bool> {
    auto timer = asio::steady_timer{*loop_, std::chrono::milliseconds{limit}};
    auto place = waiting_.insert(waiting_.end(), &timer);
    auto code = boost::system::error_code{};
    co_await timer.async_wait(resume_with(code));
    waiting_.erase(place);
    co_return code == asio::error::operation_aborted;
  }

 private:
  event_loop* loop_;
  std::list<asio::steady_timer*> waiting_;
};

}  // namespace birchlever

/// An event loop on a thread of its own, for tests of code that blocks.
#pragma once

#include <functional>
#include <future>
#include <thread>

#include "birchlever/http/task.h"

namespace birchlever {

/// Runs until it is destroyed.
class loop_thread {
 public:
  loop_thread() : thread_{[this] { loop_.run(); }} {}

  ~loop_thread() {
    loop_.stop();
    thread_.join();
  }

  loop_thread(const loop_thread&) = delete;
  auto operator=(const loop_thread&) -> loop_thread& = delete;

  [[nodiscard]] auto loop() -> event_loop& { return loop_; }

  /// Calls a function on the loop's thread and waits for its end.
  auto run(const std::function<void()>& function) -> void {
    auto done = std::promise<void>{};
    asio::post(loop_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  event_loop loop_{1};
  asio::executor_work_guard<event_loop::executor_type> work_{loop_.get_executor()};
  std::thread thread_;
};

}  // namespace birchlever

/// Runs coroutines of an event loop to their end, for tests.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <optional>

#include "birchlever/core/clock.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Runs the loop until the condition holds. False when it still does not after `limit` ms.
inline auto run_loop_until(event_loop& loop, const std::function<bool()>& condition,
                           milliseconds limit = 5000) -> bool {
  constexpr auto step = std::chrono::milliseconds{20};
  auto clock = steady_clock{};
  auto give_up = clock.now() + limit;
  while (!condition() && clock.now() < give_up) {
    loop.restart();
    loop.run_one_for(step);
  }
  return condition();
}

/// Runs one coroutine to its end and yields its result.
template <class T>
auto run_to_end(event_loop& loop, task<T> call) -> T {
  auto outcome = std::optional<T>{};
  auto wait = [](task<T> wanted, std::optional<T>& into) -> task<> { into = co_await std::move(wanted); };
  start(loop, "run_to_end", wait(std::move(call), outcome));
  REQUIRE(run_loop_until(loop, [&] { return outcome.has_value(); }));
  return std::move(*outcome);
}

/// Runs the loop for a while, also when nothing is to be done.
inline auto run_loop_for(event_loop& loop, milliseconds duration) -> void {
  auto wait = [](event_loop& on, milliseconds pause) -> task<bool> {
    co_await pause_for(on, pause);
    co_return true;
  };
  run_to_end(loop, wait(loop, duration));
}

}  // namespace birchlever

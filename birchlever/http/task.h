/// Coroutines on the event loop: one thread runs all of them, so state between two awaits needs no lock.
/// GCC 12 compiles an await within a condition or an operand of a logical operator into code that traps: an
/// await stands alone in its statement, and what a conditional expression yields is named before it becomes
/// an argument of an awaited call. tools/check_structure looks for the first form.
#pragma once

#include <utility>  // Asio's coroutine support needs it first.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {

namespace asio = boost::asio;

/// What a coroutine yields in the end.
template <class T = void>
using task = asio::awaitable<T>;

/// The one loop that a gateway's coroutines run on.
using event_loop = asio::io_context;

/// Completion that suspends the coroutine and puts the outcome into `code` instead of throwing.
inline auto resume_with(boost::system::error_code& code) {
  return asio::redirect_error(asio::use_awaitable, code);
}

/// Suspends the calling coroutine for a while.
inline auto pause_for(event_loop& loop, milliseconds duration) -> task<> {
  auto timer = asio::steady_timer{loop, std::chrono::milliseconds{duration}};
  auto ignored = boost::system::error_code{};  // Nothing cancels this timer.
  co_await timer.async_wait(resume_with(ignored));
}

/// Starts a coroutine that nobody waits for. What it throws is a fault of the program: logged, loop goes on.
template <class Coroutine>
auto start(event_loop& loop, const char* name, Coroutine coroutine) -> void {
  asio::co_spawn(loop, std::move(coroutine), [name](const std::exception_ptr& thrown) {
    if (!thrown) {
      return;
    }
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& fault) {
      log_event(log_level::error, "coroutine_failed",
                {{"coroutine", std::string{name}}, {"what", std::string{fault.what()}}});
    } catch (...) {
      log_event(log_level::error, "coroutine_failed",
                {{"coroutine", std::string{name}}, {"what", std::string{"not a standard exception"}}});
    }
  });
}

/// Runs the loop until it is stopped. What a handler throws is a fault of the program: logged, loop goes on.
inline auto run_until_stopped(event_loop& loop) -> void {
  while (!loop.stopped()) {
    try {
      loop.run();
    } catch (const std::exception& fault) {
      log_event(log_level::error, "handler_failed", {{"what", std::string{fault.what()}}});
    } catch (...) {
      log_event(log_level::error, "handler_failed", {{"what", std::string{"not a standard exception"}}});
    }
  }
}

}  // namespace birchlever

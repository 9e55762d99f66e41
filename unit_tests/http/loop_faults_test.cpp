/// Tests that a fault in one handler or coroutine of an event loop does not end the others.
#include <catch2/catch.hpp>
#include <stdexcept>

#include "birchlever/http/task.h"

namespace birchlever {
namespace {

auto fail_with_number() -> task<> {
  throw 7;
  co_return;
}

}  // namespace

// Guards against an exception that leaves a handler and ends the process with it.
TEST_CASE("a loop runs on after a handler throws") {
  auto loop = event_loop{1};
  auto ran = 0;
  asio::post(loop, [] { throw std::runtime_error{"a fault"}; });
  asio::post(loop, [] { throw 7; });
  asio::post(loop, [&] { ++ran; });
  run_until_stopped(loop);
  CHECK(ran == 1);
}

// Guards against the same for a coroutine that throws what is no standard exception.
TEST_CASE("a loop runs on after a coroutine throws") {
  auto loop = event_loop{1};
  auto ran = 0;
  start(loop, "fail_with_number", fail_with_number());
  asio::post(loop, [&] { ++ran; });
  CHECK_NOTHROW(loop.run());
  CHECK(ran == 1);
}

}  // namespace birchlever

/// Limits of how long a stream is held while the store is unavailable.
#include "birchlever/gateway/hold_limit.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

auto hold_of(milliseconds time_limit, milliseconds idle_timeout) -> milliseconds {
  auto tested_route = route{};
  tested_route.stream_idle_timeout_ = idle_timeout;
  auto request = gateway_request{};
  request.route_ = &tested_route;
  request.received_at_ = 100;
  request.deadline_ = 100 + time_limit;
  constexpr auto min_hold = milliseconds{1000};
  return max_stream_hold(request, min_hold);
}

}  // namespace

TEST_CASE("a stream is held for the idle timeout less the time to the first event") {
  CHECK(hold_of(4000, 3200) == 2500);
  CHECK(hold_of(5000, 2000) == 1300);
}

TEST_CASE("a stream is held for a share of its time limit at most") {
  CHECK(hold_of(4000, 8000) == 2500);
}

TEST_CASE("without an idle timeout the minimum applies") {
  CHECK(hold_of(4000, 0) == 1000);
}

}  // namespace birchlever

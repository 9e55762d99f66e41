/// How long a stream is held for the store.
#include "birchlever/gateway/caller_patience.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

auto patience_of(milliseconds time, milliseconds silence) -> milliseconds {
  auto taken = route{};
  taken.stream_idle_timeout_ = silence;
  auto request = gateway_request{};
  request.route_ = &taken;
  request.received_at_ = 100;
  request.due_ = 100 + time;
  constexpr auto least = milliseconds{1000};
  return stream_patience(request, least);
}

}  // namespace

TEST_CASE("a stream waits for the store as long as its caller bears silence, less what an answer takes") {
  CHECK(patience_of(4000, 3200) == 2500);
  CHECK(patience_of(5000, 2000) == 1300);
}

TEST_CASE("a stream does not wait until nothing of its time is left") {
  CHECK(patience_of(4000, 8000) == 2500);
}

TEST_CASE("where nothing is known of callers the setting holds") {
  CHECK(patience_of(4000, 0) == 1000);
}

}  // namespace birchlever

/// A part of the store that was overloaded for a moment must recover under the load that it usually bears.
#include "fleet_model/hot_part.h"

#include <catch2/catch.hpp>

namespace birchlever::model {

TEST_CASE("a part in which all change one program for a moment answers everyone again within three seconds") {
  for (auto seed : {1U, 2U, 3U}) {
    auto settings = hot_part_settings{};
    settings.seed_ = seed;
    auto outcome = play_hot_part(settings);
    CHECK(outcome.made_between(0, 2) == 1.0);
    CHECK(outcome.made_between(2, 5) >= 0.85);
    CHECK(outcome.made_between(5, 20) >= 0.99);
  }
}

TEST_CASE("with each call timed alone, and repeated at once when it lost, such a part never recovers") {
  auto settings = hot_part_settings{};
  settings.burst_ = 50;
  settings.conflicts_.free_conflicts_ = 1000000;
  settings.answers_.quick_attempts_ = 4;  // 150, 300, 600, 1,200 ms.
  settings.answers_.remembers_slow_ = false;
  auto outcome = play_hot_part(settings);
  CHECK(outcome.made_between(0, 2) == 1.0);
  CHECK(outcome.made_between(5, 20) <= 0.75);
}

TEST_CASE("a place that was silent gets more time, until it answers quickly again") {
  auto times = adaptive_timeouts{};
  CHECK(times.timeout_for("p", 0) == 150);
  CHECK(times.timeout_for("p", 1) == 300);
  CHECK(times.timeout_for("p", 2) == 1500);
  times.record_timeout("p", 150);
  CHECK(times.timeout_for("p", 0) == 300);
  CHECK(times.timeout_for("other", 0) == 150);
  times.record_response("p", 900);
  CHECK(times.timeout_for("p", 0) == 1500);
  times.record_response("p", 12);
  CHECK(times.timeout_for("p", 0) < 600);
}

TEST_CASE("a store that is slow as a whole gets more time everywhere") {
  auto times = adaptive_timeouts{};
  for (auto answers = 0; answers < 60; ++answers) {
    times.record_response("p", 240);
  }
  CHECK(times.timeout_for("other", 0) >= 1000);
  CHECK(times.timeout_for("other", 0) <= 1500);
}

}  // namespace birchlever::model

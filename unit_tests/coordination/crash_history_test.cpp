/// Memory of upstreams that ended under a piece of work.
#include <catch2/catch.hpp>

#include "birchlever/coordination/crash_history.h"

namespace birchlever {
namespace {

auto crash(const std::string& work, const std::string& upstream) -> send_record {
  return {work, upstream, send_state::crashed};
}

auto open_send(const std::string& work, const std::string& upstream) -> send_record {
  return {work, upstream, send_state::open};
}

}  // namespace

// Guards against counting one crash twice when the store and a peer both report it.
TEST_CASE("a crash counts once for each upstream, whoever reports it") {
  auto history = crash_history{};
  REQUIRE(history.record(crash("a", "u1"), 0));
  REQUIRE_FALSE(history.record(crash("a", "u1"), 1));
  REQUIRE(history.record(crash("a", "u2"), 1));
  REQUIRE(history.crashes("a") == 2);
  REQUIRE(history.crashes("b") == 0);
}

// Guards against a late write or message about an open send that hides a crash.
TEST_CASE("a crash is not replaced or settled by an older record of its send") {
  auto history = crash_history{};
  history.record(crash("a", "u1"), 0);
  history.record(open_send("a", "u1"), 1);
  history.record({"a", "u1", send_state::settled}, 2);
  history.erase(open_send("a", "u1"));
  REQUIRE(history.crashes("a") == 1);
  REQUIRE(history.upstreams_at_risk("b", 1).empty());
}

// Guards against forgetting a send whose daemon ended before it could tell the outcome.
TEST_CASE("open sends count until they are settled") {
  auto history = crash_history{};
  history.record(crash("a", "u1"), 0);
  history.record(crash("a", "u2"), 0);
  history.record(open_send("a", "u3"), 0);
  REQUIRE(history.crashes("a") == 3);
  REQUIRE(history.confirmed_crashes("a") == 2);
  history.record({"a", "u3", send_state::settled}, 1);
  REQUIRE(history.crashes("a") == 2);
}

// Guards against suspected work that shares an upstream with other suspected work.
TEST_CASE("upstreams are at risk while suspected work of another kind runs there") {
  auto history = crash_history{};
  history.record(crash("a", "u1"), 0);
  history.record(open_send("a", "u2"), 0);
  REQUIRE(history.upstreams_at_risk("b", 2) == std::set<std::string>{"u2"});
  REQUIRE(history.upstreams_at_risk("b", 3).empty());
  REQUIRE(history.upstreams_at_risk("a", 2).empty());
  history.record(crash("a", "u2"), 1);
  REQUIRE(history.upstreams_at_risk("b", 2).empty());
}

// Guards against memory that grows with the number of requests.
TEST_CASE("old records expire and the oldest work is evicted") {
  auto settings = crash_history_settings{};
  settings.max_works_ = 2;
  auto history = crash_history{settings};
  history.record(open_send("a", "u1"), 0);
  history.record(crash("b", "u1"), 0);
  history.record(crash("c", "u1"), 0);
  REQUIRE(history.size() == 2);
  REQUIRE(history.crashes("a") == 0);
  REQUIRE(history.expire(settings.max_age_).empty());
  REQUIRE(history.expire(settings.max_age_ + 1).size() == 2);
  REQUIRE(history.size() == 0);
}

// Guards against forgetting a request that ended several upstreams while many others lose theirs.
TEST_CASE("work with several sends outlasts work with one") {
  auto settings = crash_history_settings{};
  settings.max_works_ = 8;
  auto history = crash_history{settings};
  history.record(crash("a", "u1"), 0);
  history.record(crash("a", "u2"), 0);
  REQUIRE_FALSE(history.evicted_within(settings.max_open_, 1));
  for (auto number = 0; number < 20; ++number) {
    history.record(open_send("w" + std::to_string(number), "u3"), 1);
  }
  REQUIRE(history.crashes("a") == 2);
  REQUIRE(history.size() == settings.max_works_);
  REQUIRE(history.evicted_within(settings.max_open_, 1));
  REQUIRE_FALSE(history.evicted_within(settings.max_open_, 1 + settings.max_open_));
}

// Guards against rejecting a content for everyone because a service failed under many requests for it.
TEST_CASE("sends of a content that were under way together count once") {
  auto history = crash_history{};
  auto content = std::string{content_prefix} + "a";
  for (const auto* upstream : {"u1", "u2", "u3", "u4"}) {
    history.record(crash(content, upstream), 0);
  }
  REQUIRE(history.crashes(content) == 1);
  REQUIRE(history.confirmed_crashes(content) == 1);
  history.record({content, "u5", send_state::open, 2}, 1);
  REQUIRE(history.crashes(content) == 2);
  REQUIRE(history.confirmed_crashes(content) == 1);
  history.record({content, "u5", send_state::crashed, 2}, 2);
  REQUIRE(history.confirmed_crashes(content) == 2);
  REQUIRE_FALSE(history.record({content, "u5", send_state::crashed, 3}, 3));
  REQUIRE(history.crashes(content) == 2);
  REQUIRE(history.round_of_send(content, 3) == 3);
}

// Guards against counting attempts that follow each other as one because news of the first came late.
TEST_CASE("a send of a content made after another one was lost is a later round") {
  auto history = crash_history{};
  auto content = std::string{content_prefix} + "a";
  history.record({content, "u1", send_state::open, 1, 30}, 130);
  REQUIRE(history.round_of_send(content, 90) == 1);
  REQUIRE(history.round_of_send(content, 100) == 2);
  history.record({content, "u1", send_state::crashed, 1}, 500);
  REQUIRE(history.round_of_send(content, 100) == 2);
}

// Guards against rejecting a content for sends that turned out harmless while later ones were made.
TEST_CASE("settled rounds of a content do not count") {
  auto history = crash_history{};
  auto content = std::string{content_prefix} + "a";
  for (auto round = 1; round <= 6; ++round) {
    auto upstream = "u" + std::to_string(round);
    REQUIRE(history.round_of_send(content, round) == round);
    history.record({content, upstream, send_state::open, round}, round);
    history.record({content, "u" + std::to_string(round - 1), send_state::settled}, round);
    REQUIRE(history.crashes(content) == 1);
  }
}

// Guards against forgetting the crashes of one request because an equal one of the program was served.
TEST_CASE("crashes of served work count for a while, and for longer after another crash") {
  auto settings = crash_history_settings{};
  auto history = crash_history{settings};
  history.record(crash("a", "u1"), 0);
  history.record(open_send("a", "u2"), 0);
  history.record({"a", "", send_state::served}, 10);
  REQUIRE(history.crashes("a") == 1);
  history.record(crash("a", "u3"), 20);
  REQUIRE(history.expire(20 + settings.max_served_age_ + 1).empty());
  history.record({"a", "", send_state::served}, 30);
  REQUIRE(history.expire(30 + settings.max_served_age_ + 1).size() == 2);
  REQUIRE(history.size() == 0);
}

// Guards against rejecting a content for long, which many callers may need.
TEST_CASE("crashes of a content are forgotten sooner than those of work") {
  auto settings = crash_history_settings{};
  auto history = crash_history{settings};
  auto content = std::string{content_prefix} + "a";
  history.record(crash("a", "u1"), 0);
  history.record(crash(content, "u1"), 0);
  history.expire(settings.max_content_age_ + 1);
  REQUIRE(history.crashes("a") == 1);
  REQUIRE(history.crashes(content) == 0);
}

}  // namespace birchlever

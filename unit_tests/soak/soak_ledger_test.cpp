/// The soak's checks find what they are there for.
#include "soak/soak_ledger.h"

#include <catch2/catch.hpp>

namespace birchlever::soak {
namespace {

auto only_fault(const soak_ledger& ledger) -> std::string {
  REQUIRE(ledger.faults().size() == 1);
  return ledger.faults().front().substr(0, ledger.faults().front().find(':'));
}

}  // namespace

TEST_CASE("the soak's ledger is content with a request that ran once and came whole") {
  auto ledger = soak_ledger{};
  ledger.sent("r", "prompt", false);
  ledger.ran("r", "prompt", "engine-1");
  ledger.answered("r", "bytes", true);
  ledger.got("r", "bytes", true, true);
  ledger.check_refusals();
  CHECK(ledger.faults().empty());
  CHECK(ledger.whole_answers() == 1);
}

TEST_CASE("the soak's ledger sees a second run, unless the request may be repeated") {
  auto ledger = soak_ledger{};
  ledger.sent("safe", "", true);
  ledger.sent("once", "", false);
  for (auto run = 0; run < 2; ++run) {
    ledger.ran("safe", "", "tool-1");
    ledger.ran("once", "", "tool-2");
  }
  CHECK(only_fault(ledger) == name_of(promise::at_most_once));
}

TEST_CASE("the soak's ledger sees a refused request that ran before, or runs later") {
  auto before = soak_ledger{};
  before.sent("r", "", false);
  before.ran("r", "", "tool-1");
  before.refused("r");
  CHECK(only_fault(before) == name_of(promise::refusal_is_true));
  auto later = soak_ledger{};
  later.sent("r", "", false);
  later.refused("r");
  later.ran("r", "", "tool-1");
  CHECK(only_fault(later) == name_of(promise::refusal_is_true));
}

TEST_CASE("the soak's ledger sees a changed prompt and a request that nobody sent") {
  auto changed = soak_ledger{};
  changed.sent("r", "prompt", false);
  changed.ran("r", "another", "engine-1");
  CHECK(only_fault(changed) == name_of(promise::chain_is_exact));
  auto unasked = soak_ledger{};
  unasked.ran("r", "", "engine-1");
  CHECK(only_fault(unasked) == name_of(promise::chain_is_exact));
}

TEST_CASE("the soak's ledger sees a broken answer passed as whole, other bytes, and a missing proof") {
  auto broken = soak_ledger{};
  broken.answered("r", "bytes", false);
  broken.got("r", "bytes", true, true);
  CHECK(only_fault(broken) == name_of(promise::answer_is_whole));
  auto other = soak_ledger{};
  other.answered("r", "bytes", true);
  other.got("r", "byte", true, true);
  CHECK(only_fault(other) == name_of(promise::answer_is_whole));
  auto unproven = soak_ledger{};
  unproven.answered("r", "bytes", true);
  unproven.got("r", "bytes", true, false);
  CHECK(only_fault(unproven) == name_of(promise::answer_is_whole));
}

TEST_CASE("the soak's ledger sees a request that runs for another account") {
  auto ledger = soak_ledger{};
  ledger.sent("r", "", false, {"blue", "blue-key"});
  ledger.ran("r", "", "tool-1", "green");
  CHECK(only_fault(ledger) == name_of(promise::accounts_are_apart));
}

TEST_CASE("the soak's ledger sees a key that is honoured beyond its bound, and only that") {
  auto clock = std::make_shared<manual_clock>();
  auto ledger = soak_ledger{clock};
  ledger.revoked("spare", 1000);
  clock->advance(1000);
  ledger.sent("in time", "", false, {"blue", "spare"});
  clock->advance(500);
  ledger.ran("in time", "", "tool-1", "blue");
  ledger.sent("other key", "", false, {"blue", "blue-key"});
  ledger.ran("other key", "", "tool-1", "blue");
  CHECK(ledger.faults().empty());
  ledger.sent("too late", "", false, {"blue", "spare"});
  ledger.ran("too late", "", "tool-1", "blue");
  CHECK(only_fault(ledger) == name_of(promise::revoked_key_stops));
}

TEST_CASE("the soak's ledger counts what an account sent and ran within a window") {
  auto clock = std::make_shared<manual_clock>();
  auto ledger = soak_ledger{clock};
  for (auto number = 0; number < 20; ++number) {
    auto id = "r" + std::to_string(number);
    ledger.sent(id, "", false, {"hot", "hot-key"});
    ledger.ran(id, "", "tool-1", "hot");
    clock->advance(100);
  }
  ledger.check_allotment("hot", 1000, 10);
  CHECK(ledger.faults().empty());
  ledger.check_allotment("hot", 1000, 9);
  CHECK(only_fault(ledger) == name_of(promise::allotment_holds));
}

/// Failure: the soak passes although a caller took a part of a response for the whole of it.
TEST_CASE("the soak's ledger sees a part of a response that a caller takes for whole") {
  auto success = soak_ledger{};
  success.sent("r", "never read", false);
  success.ran_unread("r", "tool-1", "");
  success.answered("r", "part", false);
  success.got("r", "part", true, true);
  CHECK(only_fault(success) == name_of(promise::answer_is_whole));
  auto failure = soak_ledger{};
  failure.answered("r", "part", false);
  failure.answered("r", "whole", true);
  failure.got_error("r", "whole");
  CHECK(failure.faults().empty());
  failure.got_error("r", "part");
  CHECK(only_fault(failure) == name_of(promise::answer_is_whole));
}

}  // namespace birchlever::soak

/// Tests which claims a memory budget revokes, and who may go on when it is exceeded.
#include "birchlever/core/memory_budget.h"

#include <catch2/catch.hpp>

#include "birchlever/core/memory_claim.h"

namespace birchlever {
// Guards against giving up a caller that makes progress in place of one that holds more for longer.
TEST_CASE("a memory budget revokes what is held most for longest without progress") {
  auto clock = std::make_shared<manual_clock>();
  auto budget = memory_budget::create(1000, clock);
  auto stalled = budget->open_claim();
  auto active = budget->open_claim();
  auto small = budget->open_claim();
  auto revoked = std::vector<std::string>{};
  stalled->allow_revocation([&] { revoked.push_back("stalled"); });
  active->allow_revocation([&] { revoked.push_back("active"); });
  small->allow_revocation([&] { revoked.push_back("small"); });
  stalled->resize(400);
  small->resize(10);
  clock->advance(2000);
  active->resize(500);
  CHECK(revoked.empty());
  clock->advance(1);
  active->resize(900);
  CHECK(revoked == std::vector<std::string>{"stalled"});
  CHECK(stalled->revoked());
  CHECK(budget->held() == 910);
  stalled->resize(700);  // What was revoked counts no more.
  CHECK(budget->held() == 910);
  CHECK(budget->revoked() == 1);
}

// Guards against revoking requests that run at an upstream, and against waiting for ever when nothing is
// revocable.
TEST_CASE("a memory budget that nothing can be revoked from lets the oldest waiting claim go on") {
  auto budget = memory_budget::create(1000);
  auto first = budget->open_claim();
  auto second = budget->open_claim();
  first->resize(600);
  second->resize(600);
  CHECK_FALSE(budget->has_room());
  second->wait_for_room();
  first->wait_for_room();
  CHECK(budget->may_exceed(*first));
  CHECK_FALSE(budget->may_exceed(*second));
  first.reset();
  CHECK(budget->has_room());
  CHECK(budget->may_exceed(*second));
}

// Guards against closing a connection whose caller reads, but a little slowly.
TEST_CASE("a memory budget leaves claims alone that were resized a short time ago") {
  auto clock = std::make_shared<manual_clock>();
  auto budget = memory_budget::create(1000, clock);
  auto reader = budget->open_claim();
  auto revoked = 0;
  reader->allow_revocation([&] { ++revoked; }, 500);
  reader->resize(900);
  auto other = budget->open_claim();
  other->resize(900);
  CHECK(revoked == 0);
  clock->advance(500);
  reader->set_revocable(false);
  other->resize(901);
  CHECK(revoked == 0);
  reader->set_revocable(true);
  clock->advance(500);
  other->resize(902);
  CHECK(revoked == 1);
}

}  // namespace birchlever

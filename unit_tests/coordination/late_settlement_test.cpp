/// Guards against refusals that rest on turns that ended after their deadline.
#include <catch2/catch.hpp>

#include "unit_tests/coordination/lease_fleet.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto limit = lease_fleet::turn_limit;
constexpr auto budget = 2 * limit + limit / 2;

}  // namespace

/// Failure: a daemon that last read the program while a turn of it was overdue refuses it as spent, although
/// the turn was settled with few tokens meanwhile.
TEST_CASE("a turn settled after its deadline no longer counts at its most", "[late_settlement]") {
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{2, true, spent_memory};
    fleet.settings_.settle_grace_ = 1;
    fleet.settings_.budget_max_age_ = 60'000;
    for (auto vm : {0, 1}) {
      fleet.kill(vm);  // With the settings above.
    }
    fleet.turn(0, "t1", "", budget);
    constexpr auto deadline = milliseconds{50};
    auto order = turn_request{"p", "t2", "t1", budget, limit, "in"};
    auto overdue = run_to_end(fleet.loop_, fleet.daemon(0).store_->begin_turn(std::move(order), deadline));
    REQUIRE(ok(overdue));
    run_loop_for(fleet.loop_, deadline + 20);
    CHECK(code_of(fleet.begin(1, "n1", "t1", budget)) == error_code::budget_exhausted);
    REQUIRE(ok(fleet.end(0, "t2", "t1", value(overdue), budget, 1)));
    CHECK(ok(fleet.begin(1, "n2", "t1", budget)));
  }
}

}  // namespace birchlever

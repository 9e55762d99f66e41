/// Guards budgets against leased reservations of lost daemons: a turn that ran under one must stay counted,
/// and one that was not used must be released.
#include <catch2/catch.hpp>

#include "unit_tests/coordination/lease_fleet.h"

namespace birchlever {
namespace {

constexpr auto limit = lease_fleet::turn_limit;
constexpr auto budget = 4 * limit;

/// Runs turns at a daemon until one is not served. Returns the error code and adds to `served`.
auto run_until_refused(lease_fleet& fleet, int vm, int& served) -> std::optional<error_code> {
  for (auto number = 0; number < 2 * budget / limit; ++number) {
    auto name = "n" + std::to_string(vm) + "-" + std::to_string(served);
    auto granted = fleet.begin(vm, name, "t1", budget);
    if (!ok(granted)) {
      return failure(granted).code_;
    }
    ++served;
    REQUIRE(ok(fleet.end(vm, name, "t1", value(granted), budget)));
  }
  return std::nullopt;
}

/// Runs a turn at daemon 0, which leases the next one. `witness` witnesses it.
auto lease_at_first_daemon(lease_fleet& fleet, int witness) -> void {
  fleet.only_witness_ = witness;
  fleet.turn(0, "t1", "", budget);
}

/// Checks how many turns the budget still holds.
auto check_turns_left(lease_fleet& fleet, int vm, int turns) -> void {
  auto served = 0;
  CHECK(run_until_refused(fleet, vm, served) == error_code::budget_exhausted);
  CHECK(served == turns);
}

}  // namespace

/// Failure: after a kill the tokens of a turn that ran under a lease are granted a second time.
TEST_CASE("a turn under a lease stays counted when its daemon is killed", "[lease_use]") {
  for (auto witnessed : {false, true}) {
    for (auto spent_memory : {false, true}) {
      CAPTURE(witnessed, spent_memory);
      auto fleet = lease_fleet{3, witnessed, spent_memory};
      lease_at_first_daemon(fleet, 1);
      REQUIRE(ok(fleet.begin(0, "t2", "t1", budget)));  // Runs under the lease.
      fleet.kill(0, false);
      fleet.expire_leases();
      check_turns_left(fleet, 2,
                       2);  // Four turns, less the one that ended and the one under way at the kill.
    }
  }
}

/// Failure: the reservation of a turn that was under way at a kill makes its program get 503 without end.
TEST_CASE("a started turn counts as spent once its deadline passed and its daemon is lost", "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{2, true, spent_memory};
    fleet.settings_.settle_grace_ = 1;
    fleet.kill(0);  // With the shorter grace.
    fleet.turn(0, "t1", "", budget);
    constexpr auto deadline = milliseconds{500};
    for (const auto* turn : {"t2", "t3"}) {  // Under the lease, and under a reservation of its own.
      auto order = turn_request{"p", turn, "t1", budget, limit, "in"};
      REQUIRE(ok(run_to_end(fleet.loop_, fleet.daemon(0).store_->begin_turn(std::move(order), deadline))));
    }
    fleet.kill(0, false);
    auto served = 0;
    CHECK(run_until_refused(fleet, 1, served) == error_code::store_unavailable);
    run_loop_for(fleet.loop_, deadline + 20);
    CHECK(run_until_refused(fleet, 1, served) == error_code::budget_exhausted);
    CHECK(served == 1);
  }
}

/// Failure: a small turn that is lost with its daemon counts at the token limit of the larger lease that it
/// used.
TEST_CASE("a turn under way at a kill counts at its own token limit", "[lease_use]") {
  constexpr auto small_limit = limit / 2;
  constexpr auto mixed_budget = 4 * limit + small_limit;
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{3, true, spent_memory};
    fleet.settings_.settle_grace_ = 1;
    fleet.kill(0);  // With the shorter grace.
    fleet.only_witness_ = 1;
    fleet.turn(0, "t1", "", mixed_budget);
    auto order = turn_request{"p", "t2", "t1", mixed_budget, small_limit, "in"};
    constexpr auto deadline = milliseconds{200};
    REQUIRE(ok(run_to_end(fleet.loop_, fleet.daemon(0).store_->begin_turn(std::move(order), deadline))));
    fleet.kill(0, false);
    run_loop_for(fleet.loop_, deadline);
    fleet.expire_leases();
    auto served = 0;
    while (ok(fleet.begin(2, "n" + std::to_string(served), "t1", mixed_budget))) {
      ++served;
    }
    CHECK(served == 3);
  }
}

/// Failure: the first reservation of a daemon has no deadline, and makes its program get 503 without end.
TEST_CASE("a daemon's first reservation counts as spent once its deadline passed and it is lost",
          "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{2, true, spent_memory};
    fleet.settings_.settle_grace_ = 1;
    fleet.kill(0);  // With the shorter grace.
    constexpr auto deadline = milliseconds{300};
    auto order = turn_request{"p", "t1", "", budget, limit, "in"};
    REQUIRE(ok(run_to_end(fleet.loop_, fleet.daemon(0).store_->begin_turn(std::move(order), deadline))));
    fleet.kill(0, false);
    run_loop_for(fleet.loop_, deadline + 20);
    auto served = 0;
    auto refused = std::optional<error_code>{};
    while (!refused) {
      auto name = "n" + std::to_string(served);
      auto granted = fleet.begin(1, name, "", budget);
      refused = code_of(granted);
      if (!refused) {
        REQUIRE(ok(fleet.end(1, name, "", value(granted), budget)));
        ++served;
      }
    }
    CHECK(refused == error_code::budget_exhausted);
    CHECK(served == 3);
  }
}

/// Failure: a program is refused for a reservation that nobody used.
TEST_CASE("an unused lease of a killed daemon is released at once", "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    for (auto next : {1, 2}) {  // The witness itself, and another daemon.
      CAPTURE(spent_memory, next);
      auto fleet = lease_fleet{3, true, spent_memory};
      lease_at_first_daemon(fleet, 1);
      fleet.kill(0, false);
      auto served = 0;
      auto clock = steady_clock{};
      auto started_at = clock.now();
      CHECK(run_until_refused(fleet, next, served) == error_code::budget_exhausted);
      CHECK(served == 3);
      CHECK(clock.now() - started_at < lease_fleet::max_wait);
    }
  }
}

/// Failure: a lost lease is asked about only when the budget is short, when its witness is gone, too.
TEST_CASE("an expired lease of a killed daemon is asked about with the next write", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  fleet.kill(0);
  fleet.expire_leases();
  fleet.turn(2, "t2", "t1", budget);
  run_loop_for(fleet.loop_, 30);
  fleet.kill(1);
  check_turns_left(fleet, 2, 2);
}

/// Failure: after a kill of all daemons a program is refused for a lease that nobody used.
TEST_CASE("a lease whose holder and witness are lost is not withheld from its program", "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    for (auto next : {0, 1, 2}) {  // In place of the holder, of the witness, and another daemon.
      CAPTURE(spent_memory, next);
      auto fleet = lease_fleet{3, true, spent_memory};
      fleet.settings_.max_turn_duration_ = 600;
      fleet.kill(0);  // With the longer time until leases expire.
      lease_at_first_daemon(fleet, 1);
      fleet.kill(0);
      fleet.kill(1);
      auto served = 0;
      auto clock = steady_clock{};
      auto started_at = clock.now();
      CHECK(run_until_refused(fleet, next, served) == error_code::budget_exhausted);
      CHECK(served == 3);
      CHECK(clock.now() - started_at < fleet.settings_.max_turn_duration_);  // Not only after it expired.
    }
  }
}

/// Failure: each kill of all daemons takes another lease from the budget, or grants another turn beyond it.
TEST_CASE("of a program, one lease at most is unaccounted for, after any number of kills", "[lease_use]") {
  for (auto used : {false, true}) {
    CAPTURE(used);
    auto fleet = lease_fleet{2};
    constexpr auto turns = 8;
    constexpr auto large_budget = turns * limit;
    auto settled = 0;
    auto under_way = 0;
    for (auto round = 0; round < 2; ++round) {
      auto name = "k" + std::to_string(round);
      fleet.turn(0, name, "", large_budget);
      ++settled;
      if (used) {
        REQUIRE(ok(fleet.begin(0, name + "-next", name, large_budget)));  // Under way at the kill.
        ++under_way;
      }
      fleet.kill(0);
      fleet.kill(1);
    }
    auto served = 0;
    while (ok(fleet.begin(1, "n" + std::to_string(served), "k0", large_budget))) {
      ++served;
    }
    CHECK(settled + under_way + served >= turns);
    CHECK(settled + under_way + served <= turns + (used ? 1 : 0));
  }
}

/// Failure: an unresolved lease is withheld from its program, or is granted once more after a pause.
TEST_CASE("a lease that nobody told about during a pause is granted once", "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{3, true, spent_memory};
    lease_at_first_daemon(fleet, 1);
    fleet.daemon(0).paused_ = true;
    fleet.daemon(1).paused_ = true;
    fleet.expire_leases();
    auto served = 0;
    auto refused = run_until_refused(fleet, 2, served);
    if (refused == error_code::store_unavailable) {  // An answer may be lost, so it is asked for once more.
      run_loop_for(fleet.loop_, fleet.settings_.inquiry_max_age_ + 1);
      refused = run_until_refused(fleet, 2, served);
    }
    CHECK(refused == error_code::budget_exhausted);
    CHECK(served == 3);
    fleet.daemon(0).paused_ = false;
    fleet.daemon(1).paused_ = false;
    run_loop_for(fleet.loop_, fleet.settings_.inquiry_max_age_ + 20);
    check_turns_left(fleet, 2, 0);
  }
}

/// Failure: a daemon that was paused starts a turn under a lease that was released meanwhile.
TEST_CASE("a paused holder starts no turn under a lease that was released without it", "[lease_use]") {
  auto fleet = lease_fleet{3};
  fleet.settings_.reservation_lease_ = 60'000;
  fleet.kill(0);  // With the longer lease.
  lease_at_first_daemon(fleet, 1);
  fleet.daemon(0).paused_ = true;
  check_turns_left(fleet, 2, 3);
  fleet.daemon(0).paused_ = false;
  CHECK(code_of(fleet.begin(0, "t2", "t1", budget)) == error_code::budget_exhausted);
  CHECK(fleet.daemon(0).store_->statistics().leases_not_witnessed_ == 1);
}

/// Failure: a turn starts under a lease although no other daemon knows of it, or its budget is lost with the
/// witness.
TEST_CASE("without its witness a lease is not used, and its tokens stay available", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  fleet.kill(1, false);
  auto commits = fleet.rows_->commits();
  auto granted = fleet.begin(0, "t2", "t1", budget);
  REQUIRE(ok(granted));
  CHECK(fleet.rows_->commits() == commits + 1);
  CHECK(value(granted).reservation_ == "t2");
  REQUIRE(ok(fleet.end(0, "t2", "t1", value(granted), budget)));
  check_turns_left(fleet, 0, 2);
}

/// Failure: a lease that was not used is lost with its holder, since its witness knows of a use that did not
/// begin.
TEST_CASE("a lease whose use was recorded without a response is released in the store", "[lease_use]") {
  auto fleet = lease_fleet{3};
  fleet.only_witness_ = 1;
  constexpr auto large_budget = 6 * limit;
  fleet.turn(0, "t1", "", large_budget);
  auto parallel = std::vector<result<turn_grant>>{};
  for (const auto* name : {"t2", "t3"}) {
    parallel.push_back(fleet.begin(0, name, "t1", large_budget));
    REQUIRE(ok(parallel.back()));
  }
  REQUIRE(ok(fleet.end(0, "t2", "t1", value(parallel[0]), large_budget)));
  REQUIRE(ok(fleet.end(0, "t3", "t1", value(parallel[1]), large_budget)));
  fleet.lost_peer_answers_ = 1;                           // Of the two leases, the first is not used.
  REQUIRE(ok(fleet.begin(0, "t4", "t3", large_budget)));  // Under way at the kill.
  run_loop_for(fleet.loop_, 20);
  fleet.kill(0, false);
  fleet.expire_leases();
  auto served = 0;
  while (ok(fleet.begin(2, "n" + std::to_string(served), "t1", large_budget))) {
    ++served;
  }
  CHECK(served == 2);
}

/// Failure: a witness that has forgotten a use releases the lease, and its tokens are granted without a
/// bound.
TEST_CASE("a lease that expired too long ago for its witness to know stays in the record", "[lease_use]") {
  auto fleet = lease_fleet{3};
  fleet.settings_.lease_memory_ = 30;
  for (auto vm = 0; vm < 3; ++vm) {
    fleet.kill(vm);  // With the shorter memory.
  }
  lease_at_first_daemon(fleet, 1);  // Leases a reservation that is not used.
  fleet.kill(0, false);
  fleet.expire_leases();
  run_loop_for(fleet.loop_, 50);
  check_turns_left(fleet, 2, 3);
  CHECK(fleet.daemon(2).store_->statistics().leases_found_unused_ == 0);
  CHECK(fleet.daemon(2).store_->statistics().overdrafts_ == 1);
  check_turns_left(fleet, 1, 0);
}

/// Failure: a lease is lost with the response to its transfer, although no daemon was.
TEST_CASE("a lease whose transfer got no response is released", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  fleet.lost_peer_answers_ = 1;
  fleet.turn(2, "t2", "t1", budget);  // The first contact with the program reads its record.
  REQUIRE(fleet.lost_peer_answers_ == 0);
  check_turns_left(fleet, 1, 2);
}

/// Failure: the daemon that transferred a lease keeps it counted, although the recipient does not use it, and
/// its program gets 503 without end.
TEST_CASE("a lease whose transfer got no response is available to its first holder", "[lease_use]") {
  for (auto spent_memory : {false, true}) {
    CAPTURE(spent_memory);
    auto fleet = lease_fleet{3, true, spent_memory};
    lease_at_first_daemon(fleet, 1);
    fleet.turn(0, "t2", "t1", budget);
    fleet.lost_peer_answers_ = 1;
    fleet.turn(2, "t3", "t1", budget);
    REQUIRE(fleet.lost_peer_answers_ == 0);
    fleet.expire_leases();
    check_turns_left(fleet, 0, 1);
  }
}

/// Failure: a lease is lost with one daemon that was both its recipient and its witness.
TEST_CASE("a lease that was transferred to its own witness is released when that is killed", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 2);
  fleet.lost_peer_answers_ = 1;
  fleet.turn(2, "t2", "t1", budget);
  fleet.kill(2, false);
  fleet.expire_leases();
  check_turns_left(fleet, 1, 2);
}

/// Failure: a turn that its witness runs itself is taken for one that never started.
TEST_CASE("a lease that its own witness uses stays counted, whichever daemon is killed", "[lease_use]") {
  for (auto killed : {0, 2}) {
    CAPTURE(killed);
    auto fleet = lease_fleet{3};
    lease_at_first_daemon(fleet, 2);
    auto commits = fleet.rows_->commits();
    REQUIRE(ok(fleet.begin(2, "t2", "t1", budget)));
    REQUIRE(fleet.rows_->commits() == commits);  // It runs under the lease.
    fleet.kill(killed, false);
    fleet.expire_leases();
    auto served = 0;
    run_until_refused(fleet, 1, served);
    CHECK(served == 2);
  }
}

/// Failure: a lease is given away after another daemon was told that nobody uses it, and its tokens are
/// granted twice.
TEST_CASE("a lease that was reported as unused is not transferred, also if its write ended later",
          "[lease_use]") {
  auto fleet = lease_fleet{3};
  fleet.only_witness_ = 1;
  auto granted = fleet.begin(0, "t1", "", budget);
  REQUIRE(ok(granted));
  auto holder = fleet.daemon(0);
  auto lease = "t1+" + holder.name_;
  // Another daemon reads the lease before the response to its write reaches the holder.
  REQUIRE(holder.store_->answer_inquiry("p", lease, 1000).state_ == lease_state::unused);
  REQUIRE(ok(fleet.end(0, "t1", "", value(granted), budget)));
  CHECK_FALSE(holder.store_->transfer_lease("p", lease, fleet.daemon(2).name_));
}

/// Failure: a daemon of an earlier version starts a turn under a lease without its witness.
TEST_CASE("a witnessed lease is transferred only to a daemon that names itself", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  auto holder = fleet.daemon(0);
  auto lease = "t1+" + holder.name_;
  CHECK_FALSE(holder.store_->transfer_lease("p", lease));
  CHECK(holder.store_->transfer_lease("p", lease, fleet.daemon(2).name_));
}

/// Failure: a lease is lost with the store's response to the write that made it.
TEST_CASE("a lease whose write got no response is used by the next turn", "[lease_use]") {
  auto fleet = lease_fleet{3};
  fleet.turn(0, "t1", "", budget);
  auto granted = fleet.begin(0, "t2", "t1", budget);
  REQUIRE(ok(granted));
  fleet.rows_->faults().lose_answers_ = 1;
  REQUIRE(ok(fleet.end(0, "t2", "t1", value(granted), budget)));
  auto commits = fleet.rows_->commits();
  auto next = fleet.begin(0, "t3", "t2", budget);
  REQUIRE(ok(next));
  CHECK(fleet.rows_->commits() == commits);
}

/// Failure: a lease that was not used blocks the budget although its holder is alive.
TEST_CASE("an unused lease is dropped by its holder once it may not be used any more", "[lease_use]") {
  auto fleet = lease_fleet{1, false};
  fleet.turn(0, "t1", "", budget);
  run_loop_for(fleet.loop_, fleet.settings_.reservation_lease_ + 10);
  check_turns_left(fleet, 0, 3);
}

/// Failure: the leases of a daemon that stopped as planned are lost when their witnesses stop after it.
TEST_CASE("a daemon that stops releases its leases", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  fleet.daemon(0).store_->release_leases();
  run_loop_for(fleet.loop_, 20);
  fleet.kill(0);
  fleet.kill(1);
  check_turns_left(fleet, 2, 3);
}

/// Failure: eviction makes a daemon forget that a turn runs under its lease, which it then drops.
TEST_CASE("a lease in use is kept although the program was evicted from memory", "[lease_use]") {
  auto fleet = lease_fleet{1, false};
  fleet.settings_.cache_bytes_ = 1;
  fleet.kill(0);
  fleet.turn(0, "t1", "", budget);
  REQUIRE(ok(fleet.begin(0, "t2", "t1", budget)));
  fleet.expire_leases();
  auto served = 0;
  run_until_refused(fleet, 0, served);
  CHECK(served == 2);
}

/// Failure: a turn runs under a lease longer than assumed, and its tokens are granted to others meanwhile.
TEST_CASE("a turn that runs longer than its lease stays counted while its daemon is alive", "[lease_use]") {
  auto fleet = lease_fleet{3};
  lease_at_first_daemon(fleet, 1);
  auto running = fleet.begin(0, "t2", "t1", budget);
  REQUIRE(ok(running));
  fleet.expire_leases();
  fleet.daemon(0).rows_->cut_ = true;
  auto served = 0;
  run_until_refused(fleet, 2, served);
  CHECK(served == 2);
  fleet.daemon(0).rows_->cut_ = false;
  REQUIRE(ok(fleet.end(0, "t2", "t1", value(running), budget, limit / 2)));
  CHECK(run_until_refused(fleet, 2, served) == error_code::budget_exhausted);
  CHECK(served == 2);
}

}  // namespace birchlever

/// Guards against overspent budgets and lost turns when two daemons share programs and the store loses
/// responses.
#include "birchlever/coordination/program_store.h"

#include <catch2/catch.hpp>

#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/coordination/idle_peers.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto turn_limit = std::int64_t{40};
constexpr auto max_wait = milliseconds{2000};

/// Two daemons that share one store, on one event loop.
class two_daemons {
 public:
  explicit two_daemons(const program_store_settings& settings = {})
      : rows_{std::make_shared<memory_row_store>(loop_)},
        here_{value(program_store::create(loop_, rows_, settings))},
        there_{value(program_store::create(loop_, rows_, settings))} {}

  auto begin(program_store& daemon, const std::string& turn, const std::string& previous, std::int64_t budget)
      -> result<turn_grant> {
    return run_to_end(
        loop_, daemon.begin_turn({"p", turn, previous, budget, turn_limit, "input of " + turn}, max_wait));
  }

  auto end(program_store& daemon, const std::string& turn, const std::string& previous,
           const turn_grant& grant, std::int64_t budget, std::int64_t tokens) -> status {
    auto ended = turn_completion{"p",        turn,   grant.reservation_, tokens,
                                 turn_limit, budget, max_next_duration_, std::nullopt};
    ended.record_ = turn_record{previous, "input of " + turn, "output of " + turn, "engine-1"};
    return run_to_end(loop_, daemon.end_turn(std::move(ended), max_wait));
  }

  /// Runs a complete turn. Returns the number of commits made.
  auto turn(program_store& daemon, const std::string& turn, const std::string& previous, std::int64_t budget,
            std::int64_t tokens = turn_limit) -> int {
    auto before = rows_->commits();
    auto granted = begin(daemon, turn, previous, budget);
    REQUIRE(ok(granted));
    REQUIRE(ok(end(daemon, turn, previous, value(granted), budget, tokens)));
    return rows_->commits() - before;
  }

  auto run_for(milliseconds duration) -> void { run_loop_for(loop_, duration); }

  milliseconds max_next_duration_ = 0;  ///< Maximum duration of the next turns.
  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<program_store> here_;
  std::shared_ptr<program_store> there_;
};

auto short_leases() -> program_store_settings {
  auto settings = program_store_settings{};
  settings.reservation_lease_ = 60;
  settings.max_turn_duration_ = 30;
  return settings;
}

constexpr auto tight_budget = std::int64_t{120};  // Three turns: one spent, one leased, one available.

/// Turn t2 runs at here_ under an expired lease; t3 and t4 start at there_, and t4 removes t2's reservation.
auto remove_expired_reservation(two_daemons& fleet) -> turn_grant {
  fleet.turn(*fleet.here_, "t1", "", tight_budget);
  auto delayed = fleet.begin(*fleet.here_, "t2", "t1", tight_budget);
  REQUIRE(ok(delayed));
  fleet.run_for(short_leases().reservation_lease_ + short_leases().max_turn_duration_ + 20);
  REQUIRE(ok(fleet.begin(*fleet.there_, "t3", "t1", tight_budget)));
  REQUIRE(ok(fleet.begin(*fleet.there_, "t4", "t1", tight_budget)));
  return value(delayed);
}

auto code_of(const result<turn_grant>& granted) -> error_code {
  REQUIRE(!ok(granted));
  return failure(granted).code_;
}

}  // namespace

TEST_CASE("a subsequent turn at the same daemon costs one commit") {
  auto fleet = two_daemons{};
  CHECK(fleet.turn(*fleet.here_, "t1", "", 1000) == 2);
  CHECK(fleet.turn(*fleet.here_, "t2", "t1", 1000) == 1);
  CHECK(fleet.turn(*fleet.here_, "t3", "t2", 1000) == 1);
  auto granted = fleet.begin(*fleet.there_, "t4", "t3", 1000);
  REQUIRE(ok(granted));
  CHECK(value(granted).prompt_ ==
        "input of t1output of t1input of t2output of t2input of t3output of t3input of t4");
}

TEST_CASE("a budget is exact across daemons that hold leased reservations") {
  auto fleet = two_daemons{};
  constexpr auto budget = std::int64_t{165};  // Four turns of 40.
  fleet.turn(*fleet.here_, "t1", "", budget);
  fleet.turn(*fleet.there_, "t2", "t1", budget);
  fleet.turn(*fleet.here_, "t3", "t2", budget);
  fleet.turn(*fleet.here_, "t4", "t3", budget);
  CHECK(code_of(fleet.begin(*fleet.here_, "t5", "t4", budget)) == error_code::budget_exhausted);
  CHECK(code_of(fleet.begin(*fleet.there_, "t5", "t4", budget)) == error_code::budget_exhausted);
}

TEST_CASE(
    "a budget leased to another daemon causes store_unavailable, not budget_exhausted, until it expires") {
  auto settings = program_store_settings{};
  settings.reservation_lease_ = 60;
  settings.max_turn_duration_ = 60;
  auto fleet = two_daemons{settings};
  constexpr auto budget = std::int64_t{120};  // One turn spent, one leased to here_, one available.
  fleet.turn(*fleet.here_, "t1", "", budget);
  auto second = fleet.begin(*fleet.there_, "t2", "t1", budget);
  REQUIRE(ok(second));
  CHECK(code_of(fleet.begin(*fleet.there_, "t3", "t1", budget)) == error_code::store_unavailable);
  fleet.run_for(settings.reservation_lease_ + settings.max_turn_duration_ + 20);
  CHECK(ok(fleet.begin(*fleet.there_, "t3", "t1", budget)));
  CHECK(code_of(fleet.begin(*fleet.here_, "t4", "t1", budget)) == error_code::budget_exhausted);
}

TEST_CASE("a budget reserved by one started turn is not exhausted, by several started turns it is") {
  auto fleet = two_daemons{};
  // The single turn may have been refused after the response to its reservation was lost.
  auto first = fleet.begin(*fleet.here_, "t1", "", 60);
  REQUIRE(ok(first));
  CHECK(code_of(fleet.begin(*fleet.there_, "t1-again", "", 60)) == error_code::store_unavailable);
  fleet.here_->cancel_turn("p", value(first).reservation_);
  fleet.run_for(2 * program_store_settings{}.budget_max_age_);
  REQUIRE(ok(fleet.begin(*fleet.there_, "t1-again", "", 60)));
  REQUIRE(ok(fleet.begin(*fleet.here_, "t2", "", 100)));
  CHECK(code_of(fleet.begin(*fleet.there_, "t3", "", 100)) == error_code::budget_exhausted);
}

TEST_CASE("a leased reservation is kept for the maximum duration of a turn that may have started under it") {
  auto fleet = two_daemons{short_leases()};
  fleet.max_next_duration_ = 60000;
  fleet.turn(*fleet.here_, "t1", "", tight_budget);
  REQUIRE(ok(fleet.begin(*fleet.there_, "t2", "t1", tight_budget)));
  fleet.run_for(short_leases().reservation_lease_ + short_leases().max_turn_duration_ + 20);
  CHECK(code_of(fleet.begin(*fleet.there_, "t3", "t1", tight_budget)) == error_code::store_unavailable);
}

/// Failure: the tokens of a turn that ran under a lease are granted a second time once its daemon is gone.
TEST_CASE("an expired lease that another daemon may have used counts as spent") {
  for (auto spent_memory : {false, true}) {
    auto settings = short_leases();
    settings.spent_memory_ = spent_memory;
    settings.initial_turn_duration_ = 1;
    auto fleet = two_daemons{settings};
    settings.daemon_ = "vm-2@1";
    fleet.there_ = value(program_store::create(fleet.loop_, fleet.rows_, settings));
    fleet.turn(*fleet.here_, "t1", "", tight_budget);
    REQUIRE(ok(fleet.begin(*fleet.here_, "t2", "t1", tight_budget)));  // Runs under the lease.
    fleet.run_for(short_leases().reservation_lease_ + short_leases().max_turn_duration_ + 20);
    fleet.turn(*fleet.there_, "t3", "t1", tight_budget);
    CHECK(code_of(fleet.begin(*fleet.there_, "t4", "t3", tight_budget)) == error_code::budget_exhausted);
  }
}

TEST_CASE("a turn whose expired reservation was removed is still charged and stored") {
  auto fleet = two_daemons{short_leases()};
  auto delayed = remove_expired_reservation(fleet);
  REQUIRE(ok(fleet.end(*fleet.here_, "t2", "t1", delayed, tight_budget, turn_limit)));
  auto next = fleet.begin(*fleet.there_, "t5", "t2", 1000);
  REQUIRE(ok(next));
  CHECK(value(next).prompt_ == "input of t1output of t1input of t2output of t2input of t5");
  CHECK(code_of(fleet.begin(*fleet.there_, "t6", "t2", 200)) == error_code::budget_exhausted);
}

TEST_CASE(
    "a turn whose expired reservation was removed is charged once, also if two writes get no response") {
  auto fleet = two_daemons{short_leases()};
  auto delayed = remove_expired_reservation(fleet);
  fleet.rows_->faults().lose_calls_ = 1;    // The first write is lost.
  fleet.rows_->faults().lose_answers_ = 1;  // A later write is made, but its response is lost.
  REQUIRE(ok(fleet.end(*fleet.here_, "t2", "t1", delayed, tight_budget, turn_limit)));
  // Spent: t1 and t2. Reserved: t3 and t4.
  CHECK(ok(fleet.begin(*fleet.there_, "t5", "t2", 5 * turn_limit)));
}

TEST_CASE("an exhausted budget is refused without a read, a reserved one while the record is recent") {
  auto fleet = two_daemons{};
  fleet.turn(*fleet.here_, "t1", "", 60);
  auto reads = fleet.rows_->reads();
  CHECK(code_of(fleet.begin(*fleet.here_, "t2", "t1", 60)) == error_code::budget_exhausted);
  REQUIRE(ok(fleet.begin(*fleet.here_, "t3", "t1", 100)));
  CHECK(code_of(fleet.begin(*fleet.here_, "t4", "t1", 100)) == error_code::budget_exhausted);
  CHECK(fleet.rows_->reads() == reads);
}

TEST_CASE(
    "program records survive a round trip, rows of the first release are read, others are malformed_json") {
  auto record = program_record{};
  record.spent_ = 7;
  record.reserved_ = {{"t1", {40, 0}}, {"t2+", {30, 1234}}};
  auto decoded = decode_program(encode(record));
  REQUIRE(ok(decoded));
  CHECK(value(decoded).committed() == 77);
  CHECK(value(decoded).reserved_.at("t2+").expires_at_ == 1234);
  auto first_release = std::string{"\xA3\x61s\x05\x61r\xA1\x62t1\x18\x28\x61t\x00", 15};
  auto old = decode_program(first_release);
  REQUIRE(ok(old));
  CHECK(value(old).committed() == 45);
  CHECK_FALSE(value(old).has_leased());
  CHECK(failure(decode_program("nonsense")).code_ == error_code::malformed_json);
  CHECK(failure(decode_program("")).code_ == error_code::malformed_json);
}

TEST_CASE("a settlement and its lease are written once if responses are lost") {
  for (auto fault = 0; fault < 3; ++fault) {
    auto fleet = two_daemons{};
    fleet.turn(*fleet.here_, "t1", "", 1000, 10);
    auto granted = fleet.begin(*fleet.here_, "t2", "t1", 1000);
    REQUIRE(ok(granted));
    auto& faults = fleet.rows_->faults();
    faults.lose_answers_ = fault == 0 ? 2 : 0;
    faults.lose_calls_ = fault == 1 ? 2 : 0;
    faults.late_commits_ = fault == 2 ? 2 : 0;
    REQUIRE(ok(fleet.end(*fleet.here_, "t2", "t1", value(granted), 1000, 10)));
    fleet.run_for(100);
    CHECK(ok(fleet.begin(*fleet.there_, "t3", "t2", 20 + 3 * turn_limit)));  // Spent 20; leased at most two.
    CHECK(code_of(fleet.begin(*fleet.there_, "t4", "t2", 20 + turn_limit - 1)) ==
          error_code::budget_exhausted);
  }
}

TEST_CASE("equally named programs and turns of two accounts stay separate, also after all daemons are lost") {
  auto fleet = two_daemons{};
  auto order = [](const std::string& account, const std::string& turn, const std::string& previous) {
    return turn_request{{account, "p"}, turn, previous, 200, turn_limit, turn + " of " + account + ";"};
  };
  auto finish = [&](program_store& daemon, const std::string& account, const std::string& turn,
                    const turn_grant& grant) {
    auto ended = turn_completion{{account, "p"}, turn, grant.reservation_, turn_limit, turn_limit, 200, 0,
                                 std::nullopt};
    ended.record_ = turn_record{"", turn + " of " + account + ";", "out of " + account + ";", "engine-1"};
    REQUIRE(ok(run_to_end(fleet.loop_, daemon.end_turn(std::move(ended), max_wait))));
  };
  auto blue_grant = run_to_end(fleet.loop_, fleet.here_->begin_turn(order("blue", "t1", ""), max_wait));
  auto green_grant = run_to_end(fleet.loop_, fleet.there_->begin_turn(order("green", "t1", ""), max_wait));
  REQUIRE(ok(blue_grant));
  REQUIRE(ok(green_grant));
  finish(*fleet.here_, "blue", "t1", value(blue_grant));
  finish(*fleet.there_, "green", "t1", value(green_grant));
  auto after_loss = value(program_store::create(fleet.loop_, fleet.rows_, {}));
  for (const auto& daemon : {fleet.here_, fleet.there_, after_loss}) {
    for (const auto* account : {"blue", "green"}) {
      auto name = std::string{account};
      auto next = run_to_end(fleet.loop_, daemon->begin_turn(order(name, "t2", "t1"), max_wait));
      REQUIRE(ok(next));
      CHECK(value(next).prompt_ == "t1 of " + name + ";out of " + name + ";t2 of " + name + ";");
      daemon->cancel_turn({name, "p"}, value(next).reservation_);
      fleet.run_for(20);
    }
    auto other_account_grant =
        run_to_end(fleet.loop_, daemon->begin_turn(order("red", "t2", "t1"), max_wait));
    CHECK(code_of(other_account_grant) == error_code::unknown_turn);
  }
}

TEST_CASE("a program does not spend the budget of an equally named program of another account") {
  auto fleet = two_daemons{};
  auto order = [](const std::string& account, const std::string& turn) {
    return turn_request{{account, "p"}, turn, "", turn_limit, turn_limit, "in"};
  };
  REQUIRE(ok(run_to_end(fleet.loop_, fleet.here_->begin_turn(order("blue", "t1"), max_wait))));
  REQUIRE(ok(run_to_end(fleet.loop_, fleet.there_->begin_turn(order("green", "t1"), max_wait))));
}

/// Connects to one other daemon.
class single_peer final : public idle_peers {
 public:
  explicit single_peer(std::shared_ptr<program_store> other) : other_{std::move(other)} {}

  auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> override {
    ++requests_;
    last_holder_ = std::move(holder);
    auto given = reachable_ && other_->transfer_lease(program_key, reservation);
    co_return given && !response_lost_;
  }

  std::shared_ptr<program_store> other_;
  std::string last_holder_;
  int requests_ = 0;
  bool reachable_ = true;
  bool response_lost_ = false;
};

/// Two daemons with distinct names, of which the second can reach the first.
struct named_daemons : two_daemons {
  named_daemons() {
    auto settings = program_store_settings{};
    settings.daemon_ = "vm-1@1";
    here_ = value(program_store::create(loop_, rows_, settings));
    settings.daemon_ = "vm-2@1";
    there_ = value(program_store::create(loop_, rows_, settings));
    there_->set_budget_peers(peer_ = std::make_shared<single_peer>(here_));
  }

  std::shared_ptr<single_peer> peer_;
};

TEST_CASE("a turn through another daemon uses the transferred reservation and costs one commit") {
  auto fleet = named_daemons{};
  fleet.turn(*fleet.here_, "t1", "", 1000);
  CHECK(fleet.turn(*fleet.there_, "t2", "t1", 1000) == 1);
  CHECK(fleet.peer_->requests_ == 1);
  CHECK(fleet.peer_->last_holder_ == "vm-1@1");
  // The transferred reservation is no longer used at here_.
  auto before = fleet.rows_->commits();
  REQUIRE(ok(fleet.begin(*fleet.here_, "t3", "t1", 1000)));
  CHECK(fleet.rows_->commits() > before);
}

TEST_CASE("a leased reservation is used only once") {
  auto fleet = named_daemons{};
  constexpr auto budget = 3 * turn_limit;  // After the first turn and its lease, one turn is left.
  fleet.turn(*fleet.here_, "t1", "", budget, 10);
  auto kept = fleet.begin(*fleet.here_, "t2", "t1", budget);
  REQUIRE(ok(kept));
  auto other = fleet.begin(*fleet.there_, "t3", "t1",
                           budget);  // The lease is in use, so this turn writes its own reservation.
  REQUIRE(ok(other));
  CHECK(value(other).reservation_ != value(kept).reservation_);
  CHECK(code_of(fleet.begin(*fleet.there_, "t4", "t1", budget)) != error_code::unknown_turn);
  CHECK_FALSE(ok(fleet.begin(*fleet.there_, "t4", "t1", budget)));
}

TEST_CASE(
    "an unreachable holder keeps its reservation; if the transfer response is lost, no daemon uses it") {
  auto fleet = named_daemons{};
  fleet.turn(*fleet.here_, "t1", "", 1000);
  fleet.peer_->reachable_ = false;
  CHECK(fleet.turn(*fleet.there_, "t2", "t1", 1000) == 2);
  auto before = fleet.rows_->commits();
  REQUIRE(ok(fleet.begin(*fleet.here_, "t3", "t1", 1000)));
  CHECK(fleet.rows_->commits() == before);  // Uses its own reservation.
  auto lossy = named_daemons{};
  lossy.turn(*lossy.here_, "t1", "", 1000);
  lossy.peer_->response_lost_ = true;
  CHECK(lossy.turn(*lossy.there_, "t2", "t1", 1000) == 2);
  before = lossy.rows_->commits();
  REQUIRE(ok(lossy.begin(*lossy.here_, "t3", "t1", 1000)));
  CHECK(lossy.rows_->commits() > before);
}

TEST_CASE("rows written without an account are found only without an account") {
  auto fleet = two_daemons{};
  fleet.turn(*fleet.here_, "t1", "", 1000);
  CHECK(ok(fleet.begin(*fleet.there_, "t2", "t1", 1000)));
  auto foreign_request = turn_request{{"blue", "p"}, "t2", "t1", 1000, turn_limit, "in"};
  auto granted = run_to_end(fleet.loop_, fleet.there_->begin_turn(std::move(foreign_request), max_wait));
  CHECK(code_of(granted) == error_code::unknown_turn);
}

}  // namespace birchlever

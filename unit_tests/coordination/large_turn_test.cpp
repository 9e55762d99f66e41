/// Guards turns and queues of changes against the store's limits for one transaction.
#include <catch2/catch.hpp>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto max_wait = milliseconds{3000};
constexpr auto limit = std::int64_t{40};

struct store_fixture {
  store_fixture() { store_ = make("daemon"); }

  auto make(const std::string& name) -> std::shared_ptr<program_store> {
    auto settings = program_store_settings{};
    settings.daemon_ = name;
    return value(program_store::create(loop_, rows_, settings));
  }

  auto begin(program_store& store, const std::string& turn, const std::string& previous,
             const std::string& input) -> result<turn_grant> {
    auto order = turn_request{"p", turn, previous, budget_, limit, input};
    return run_to_end(loop_, store.begin_turn(std::move(order), max_wait));
  }

  static auto completion(const std::string& turn, const std::string& previous, const turn_grant& grant,
                         const std::string& input) -> turn_completion {
    auto ended = turn_completion{"p", turn, grant.reservation_, limit, limit, budget_, 0, std::nullopt};
    ended.record_ = turn_record{previous, input, "out-" + turn, "engine-1"};
    return ended;
  }

  auto end(program_store& store, const std::string& turn, const std::string& previous,
           const turn_grant& grant, const std::string& input) -> status {
    return run_to_end(loop_, store.end_turn(completion(turn, previous, grant, input), max_wait));
  }

  static constexpr auto budget_ = std::int64_t{20 * limit};
  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::shared_ptr<program_store> store_;
};

}  // namespace

/// Failure: a turn that exceeds one transaction of the store is cut, and every turn that names it gets 404.
TEST_CASE("a turn of any size that a request may have is stored and read back", "[large_turn]") {
  for (auto bytes : {100'000U, 600'000U, 730'000U, 800'000U, 1'500'000U, 4'194'304U}) {
    CAPTURE(bytes);
    auto fixture = store_fixture{};
    auto input = std::string(bytes, 'x');
    input.back() = 'y';
    auto granted = fixture.begin(*fixture.store_, "t1", "", input);
    REQUIRE(ok(granted));
    REQUIRE(ok(fixture.end(*fixture.store_, "t1", "", value(granted), input)));
    auto other = fixture.make("other");
    auto next = fixture.begin(*other, "t2", "t1", "next");
    REQUIRE(ok(next));
    CHECK(value(next).prompt_ == input + "out-t1" + "next");
  }
}

/// Failure: a history that exceeds a page of the store is cut, or is not readable.
TEST_CASE("a history of several large turns is read page by page", "[large_turn]") {
  auto fixture = store_fixture{};
  auto expected = std::string{};
  auto previous = std::string{};
  for (const auto* turn : {"t1", "t2", "t3"}) {
    auto input = std::string(4'000'000, turn[1]);
    auto granted = fixture.begin(*fixture.store_, turn, previous, input);
    REQUIRE(ok(granted));
    REQUIRE(ok(fixture.end(*fixture.store_, turn, previous, value(granted), input)));
    expected += input + "out-" + turn;
    previous = turn;
  }
  auto reads = fixture.rows_->reads();
  auto next = fixture.begin(*fixture.make("other"), "t4", previous, "next");
  REQUIRE(ok(next));
  CHECK(value(next).prompt_ == expected + "next");
  CHECK(fixture.rows_->reads() > reads + 12);  // 12 MB, of 1 MB a page.
}

/// Failure: a reader takes a part of a turn for the turn, or fails for all turns of its program.
TEST_CASE("a turn of which only a part is stored is not visible to readers", "[large_turn]") {
  for (auto calls = 1; calls <= 8; ++calls) {
    CAPTURE(calls);
    auto fixture = store_fixture{};
    auto first = fixture.begin(*fixture.store_, "t1", "", "in");
    REQUIRE(ok(first));
    REQUIRE(ok(fixture.end(*fixture.store_, "t1", "", value(first), "in")));
    auto input = std::string(4'000'000, 'x');
    auto granted = fixture.begin(*fixture.store_, "t2", "t1", input);
    REQUIRE(ok(granted));
    auto until = fixture.rows_->commits() + calls;
    auto ended = false;
    auto end = [&]() -> task<> {
      auto completion = store_fixture::completion("t2", "t1", value(granted), input);
      auto stored = co_await fixture.store_->end_turn(std::move(completion), max_wait);
      ended = ok(stored);
    };
    start(fixture.loop_, "end", end());
    REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.rows_->commits() >= until || ended; }));
    auto reader = fixture.make("reader");
    auto named = fixture.begin(*reader, "t3", "t2", "next");
    CHECK((ok(named) || failure(named).code_ == error_code::unknown_turn));
    CHECK((!ok(named) || value(named).prompt_ == "inout-t1" + input + "out-t2" + "next"));
    CHECK(ok(fixture.begin(*reader, "t4", "t1", "next")));
    REQUIRE(run_loop_until(fixture.loop_, [&] { return ended; }));
    CHECK(ok(fixture.begin(*fixture.make("last"), "t5", "t2", "next")));
  }
}

/// Failure: turns that ended during an outage are sent in one transaction that the store rejects for its
/// size.
TEST_CASE("turns that ended during an outage are stored within the limits of a transaction", "[large_turn]") {
  for (auto bytes : {150'000U, 900'000U}) {
    CAPTURE(bytes);
    auto fixture = store_fixture{};
    constexpr auto lines = 6;
    auto input = std::string(bytes, 'x');
    auto granted = std::vector<turn_grant>{};
    for (auto line = 0; line < lines; ++line) {
      auto begun = fixture.begin(*fixture.store_, "t" + std::to_string(line), "", input);
      REQUIRE(ok(begun));
      granted.push_back(value(begun));
    }
    fixture.rows_->faults().down_ = true;
    auto stored = 0;
    auto end = [&](int line) -> task<> {
      auto name = "t" + std::to_string(line);
      auto completion =
          store_fixture::completion(name, "", granted.at(static_cast<std::size_t>(line)), input);
      auto ended = co_await fixture.store_->end_turn(std::move(completion), max_wait);
      stored += ok(ended) ? 1 : 0;
    };
    for (auto line = 0; line < lines; ++line) {
      start(fixture.loop_, "end", end(line));
    }
    run_loop_for(fixture.loop_, 50);
    fixture.rows_->faults().down_ = false;
    run_loop_until(fixture.loop_, [&] { return stored == lines; });
    CHECK(stored == lines);
    CHECK(ok(fixture.begin(*fixture.make("other"), "next", "t5", "next")));
  }
}

/// Failure: a turn of which not even the first piece is within the limits is planned again and again.
TEST_CASE("a turn that cannot be stored in any number of transactions fails", "[large_turn]") {
  auto fixture = store_fixture{};
  fixture.rows_->set_limits({100, 20'000}, {100, 20'000});
  auto input = std::string(400'000, 'x');
  auto granted = fixture.begin(*fixture.store_, "t1", "", input);
  REQUIRE(ok(granted));
  auto ended = fixture.end(*fixture.store_, "t1", "", value(granted), input);
  REQUIRE_FALSE(ok(ended));
  CHECK(failure(ended).code_ == error_code::store_rejected);
  CHECK(ok(fixture.begin(*fixture.store_, "t2", "", "in")));
}

/// Failure: a change that the store rejects is sent again and again, and holds up all changes beside it.
TEST_CASE("a change that the store rejects fails at once and alone", "[large_turn]") {
  auto fixture = store_fixture{};
  fixture.rows_->set_limits({}, {100, 200'000});  // The store takes less than it reports.
  auto granted = std::vector<turn_grant>{};
  constexpr auto lines = 3;
  for (auto line = 0; line < lines; ++line) {
    auto begun = fixture.begin(*fixture.store_, "t" + std::to_string(line), "", "in");
    REQUIRE(ok(begun));
    granted.push_back(value(begun));
  }
  auto inputs = std::vector<std::string>{"in", std::string(400'000, 'x'), "in"};
  auto outcomes = std::map<int, status>{};
  auto end = [&](int line) -> task<> {
    auto at = static_cast<std::size_t>(line);
    auto completion =
        store_fixture::completion("t" + std::to_string(line), "", granted.at(at), inputs.at(at));
    auto ended = co_await fixture.store_->end_turn(std::move(completion), max_wait);
    outcomes.emplace(line, ended);
  };
  auto clock = steady_clock{};
  auto started_at = clock.now();
  for (auto line = 0; line < lines; ++line) {
    start(fixture.loop_, "end", end(line));
  }
  REQUIRE(run_loop_until(fixture.loop_, [&] { return outcomes.size() == lines; }));
  CHECK(clock.now() - started_at < max_wait);
  CHECK(ok(outcomes.at(0)));
  CHECK(ok(outcomes.at(2)));
  REQUIRE_FALSE(ok(outcomes.at(1)));
  CHECK(failure(outcomes.at(1)).code_ == error_code::store_rejected);
  auto other = fixture.make("other");
  CHECK(ok(fixture.begin(*other, "next", "t2", "next")));
  // The tokens of the rejected turn were handed out: 3 of 20 turns are spent, one is under way.
  auto served = 0;
  while (ok(fixture.begin(*fixture.store_, "n" + std::to_string(served), "t0", "next"))) {
    ++served;
  }
  CHECK(served == 16);
}

}  // namespace birchlever

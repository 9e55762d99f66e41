/// Guards against programs that are never removed, and against removal of rows that are still in use.
#include "birchlever/coordination/program_sweeper.h"

#include <catch2/catch.hpp>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto retention = milliseconds{120};

auto fast_settings() -> program_sweeper_settings {
  auto settings = program_sweeper_settings{};
  settings.initial_delay_ = 5;
  settings.pass_interval_ = 20;
  settings.partition_interval_ = 0;
  settings.rows_per_removal_ = 4;
  return settings;
}

/// A store with programs, and a sweeper over it.
struct store_fixture {
  store_fixture() : rows_{std::make_shared<memory_row_store>(loop_)} {
    programs_ = value(program_store::create(loop_, rows_, {}));
  }

  auto turn(const std::string& program, const std::string& id, const std::string& previous) -> void {
    auto granted = run_to_end(loop_, programs_->begin_turn({program, id, previous, 1000, 10, "in"}, 1000));
    REQUIRE(ok(granted));
    auto ended = turn_completion{program, id, value(granted).reservation_,       10, 10,
                                 1000,    0,  turn_record{previous, "in", "out"}};
    REQUIRE(ok(run_to_end(loop_, programs_->end_turn(std::move(ended), 1000))));
  }

  auto sweep(bool owns = true) -> void {
    sweeper_ = value(program_sweeper::create(
        loop_, rows_, fast_settings(), [owns](const std::string&) { return owns; },
        [] { return retention; }));
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<program_store> programs_;
  std::shared_ptr<program_sweeper> sweeper_;
};

}  // namespace

TEST_CASE("a program unchanged for the retention period is removed completely, in several transactions") {
  auto store = store_fixture{};
  store.turn("p1", "t1", "");
  store.turn("p1", "t2", "t1");
  store.turn("p1", "t3", "t2");
  store.sweep();
  run_loop_for(store.loop_, retention / 2);
  CHECK(store.sweeper_->removed() == 0);
  REQUIRE(run_loop_until(store.loop_, [&] { return store.rows_->size() == 0; }));
  CHECK(store.sweeper_->removed() == 1);
}

TEST_CASE("a program that continues is kept, one without completed turns is removed when it stops") {
  auto store = store_fixture{};
  store.sweep();
  store.turn("p1", "t1", "");
  auto unfinished =
      run_to_end(store.loop_, store.programs_->begin_turn({"p2", "t9", "", 1000, 10, "in"}, 1000));
  REQUIRE(ok(unfinished));
  auto previous = std::string{"t1"};
  for (auto number = 2; number < 10; ++number) {
    run_loop_for(store.loop_, retention / 3);
    auto id = "t" + std::to_string(10 * number);
    store.turn("p1", id, previous);
    previous = id;
  }
  CHECK(store.sweeper_->removed() == 1);  // Only p2, which had no further turns.
  auto restarted = value(program_store::create(store.loop_, store.rows_, {}));
  CHECK(ok(run_to_end(store.loop_, restarted->begin_turn({"p1", "next", previous, 1000, 10, "in"}, 1000))));
}

TEST_CASE("a partition preferred by another daemon is not swept") {
  auto store = store_fixture{};
  store.turn("p1", "t1", "");
  store.sweep(false);
  run_loop_for(store.loop_, 2 * retention);
  CHECK(store.sweeper_->removed() == 0);
  CHECK(store.rows_->size() > 0);
}

TEST_CASE("removing a program keeps programs whose names start with its name") {
  auto store = store_fixture{};
  // Enough pairs that some share a partition, where the removed key range could include the other's rows.
  for (auto number = 0; number < 200; ++number) {
    auto candidate = "a" + std::to_string(number);
    store.turn(candidate, "t" + candidate, "");
    store.turn(candidate + "-b", "s" + candidate, "");
  }
  store.sweep();
  auto last = std::string{"t"};
  auto deadline = steady_clock{}.now() + 4000;
  while (store.sweeper_->removed() < 200 && steady_clock{}.now() < deadline) {
    for (auto number = 0; number < 200; ++number) {
      auto name = "a" + std::to_string(number) + "-b";
      store.turn(name, "u" + std::to_string(number) + last, "sa" + std::to_string(number));
    }
    last += "t";
    run_loop_for(store.loop_, retention / 4);
  }
  auto restarted = value(program_store::create(store.loop_, store.rows_, {}));
  for (auto number = 0; number < 200; ++number) {
    auto name = "a" + std::to_string(number) + "-b";
    auto next_turn = turn_request{name, "next", "sa" + std::to_string(number), 1000000, 10, "in"};
    CHECK(ok(run_to_end(store.loop_, restarted->begin_turn(std::move(next_turn), 1000))));
  }
}

}  // namespace birchlever

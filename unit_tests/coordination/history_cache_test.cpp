/// Guards against turns that cannot go on because their history was evicted from memory while it was read.
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto limit = std::int64_t{40};
constexpr auto max_wait = milliseconds{2000};

/// A store whose reads take a random time.
class slow_row_store final : public row_store_interface {
 public:
  slow_row_store(event_loop& loop, std::shared_ptr<memory_row_store> rows, std::uint32_t seed,
                 milliseconds max_delay)
      : loop_{&loop}, rows_{std::move(rows)}, random_{seed}, max_delay_{max_delay} {}

  [[nodiscard]] auto reachable() const -> bool override { return rows_->reachable(); }
  auto wait_until_reachable(milliseconds time) -> task<bool> override {
    return rows_->wait_until_reachable(time);
  }
  auto commit(row_transaction transaction, milliseconds time_left) -> task<result<commit_outcome>> override {
    return rows_->commit(std::move(transaction), time_left);
  }
  auto read(row_range range, milliseconds time_left) -> task<result<row_page>> override {
    auto delay = std::uniform_int_distribution<milliseconds>{1, max_delay_}(random_);
    auto page = co_await rows_->read(std::move(range), time_left);
    co_await pause_for(*loop_, delay);
    co_return page;
  }
  auto changes(std::string table, std::int64_t after, milliseconds wait) -> task<result<row_page>> override {
    return rows_->changes(std::move(table), after, wait);
  }
  auto partitions(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> override {
    return rows_->partitions(std::move(table), std::move(after), time_left);
  }

 private:
  event_loop* loop_;
  std::shared_ptr<memory_row_store> rows_;
  std::mt19937 random_;
  milliseconds max_delay_;
};

auto input_of(const std::string& turn) -> std::string {
  return "input of " + turn + " " + std::string(200, '.');
}

/// A daemon with a small cache, and another one that stores the turns it goes on from.
class small_cache {
 public:
  small_cache(std::uint32_t seed, milliseconds max_delay, std::size_t cache_bytes)
      : rows_{std::make_shared<memory_row_store>(loop_)} {
    auto settings = program_store_settings{};
    writer_ = value(program_store::create(loop_, rows_, settings));
    settings.cache_bytes_ = cache_bytes;
    auto slow_rows = std::make_shared<slow_row_store>(loop_, rows_, seed, max_delay);
    reader_ = value(program_store::create(loop_, slow_rows, settings));
  }

  /// Stores a complete turn.
  auto store(const std::string& program, const std::string& turn, const std::string& previous) -> void {
    auto order = turn_request{program, turn, previous, std::nullopt, limit, input_of(turn)};
    auto granted = run_to_end(loop_, writer_->begin_turn(std::move(order), max_wait));
    REQUIRE(ok(granted));
    auto ended = turn_completion{
        program, turn, value(granted).reservation_, limit, limit, std::nullopt, 0, std::nullopt};
    ended.record_ = turn_record{previous, input_of(turn), "", "engine-1"};
    REQUIRE(ok(run_to_end(loop_, writer_->end_turn(std::move(ended), max_wait))));
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<program_store> writer_;
  std::shared_ptr<program_store> reader_;
};

/// A turn that a caller sends, and its outcome.
struct sent_turn {
  std::string expected_prompt_;
  std::optional<result<turn_grant>> outcome_;
};

auto send(small_cache& fleet, turn_request order, sent_turn& sent) -> void {
  auto begin = [](std::shared_ptr<program_store> store, turn_request wanted, sent_turn& into) -> task<> {
    into.outcome_ = co_await store->begin_turn(std::move(wanted), max_wait);
  };
  start(fleet.loop_, "begin_turn", begin(fleet.reader_, std::move(order), sent));
}

}  // namespace

/// Failure: another turn evicts the program whose history is being read, and no turn that goes on from it
/// gets an answer from this daemon any more.
TEST_CASE("a turn goes on from another program that is evicted while it is read", "[history_cache]") {
  constexpr auto read_delay = milliseconds{10};
  auto fleet = small_cache{1, read_delay, 1};
  fleet.store("old", "t1", "");
  for (auto number = 0; number < 2; ++number) {
    CAPTURE(number);
    auto sent = sent_turn{};
    auto turn = "n" + std::to_string(number);
    send(fleet, {"new" + turn, turn, "t1", std::nullopt, limit, input_of(turn)}, sent);
    auto others = std::vector<std::unique_ptr<sent_turn>>{};
    auto answered = run_loop_until(fleet.loop_, [&] {
      if (others.empty() || others.back()->outcome_) {
        auto other = "other" + turn + std::to_string(others.size());
        others.push_back(std::make_unique<sent_turn>());
        send(fleet, {other, other, "", std::nullopt, limit, input_of(other)}, *others.back());
      }
      return sent.outcome_.has_value();
    });
    REQUIRE(answered);
    REQUIRE(ok(*sent.outcome_));
    CHECK(value(*sent.outcome_).prompt_ == input_of("t1") + input_of(turn));
    REQUIRE(run_loop_until(fleet.loop_, [&] { return others.back()->outcome_.has_value(); }));
  }
}

/// Failure: overlapping reads and evictions leave turns without an answer, or with a part of their history.
TEST_CASE("overlapping turns get their whole histories from a small cache", "[history_cache]") {
  constexpr auto programs = 12;
  constexpr auto turns = 3;
  constexpr auto sends = 60;
  for (auto seed = std::uint32_t{1}; seed <= 10; ++seed) {
    CAPTURE(seed);
    auto random = std::mt19937{seed};
    auto below = [&](int end) { return std::uniform_int_distribution<int>{0, end - 1}(random); };
    auto fleet = small_cache{seed, 4, static_cast<std::size_t>(1 + below(3000))};
    for (auto program = 0; program < programs; ++program) {
      for (auto turn = 0; turn < turns; ++turn) {
        auto name = std::to_string(program) + "-";
        auto previous = turn == 0 ? std::string{} : name + std::to_string(turn - 1);
        fleet.store("old" + name, name + std::to_string(turn), previous);
      }
    }
    auto all = std::vector<std::unique_ptr<sent_turn>>{};
    for (auto number = 0; number < sends; ++number) {
      auto name = std::to_string(below(programs)) + "-";
      auto last = below(turns);
      auto turn = "n" + std::to_string(number);
      auto sent = std::make_unique<sent_turn>();
      for (auto before = 0; before <= last; ++before) {
        sent->expected_prompt_ += input_of(name + std::to_string(before));
      }
      sent->expected_prompt_ += input_of(turn);
      send(fleet, {"new" + turn, turn, name + std::to_string(last), std::nullopt, limit, input_of(turn)},
           *sent);
      all.push_back(std::move(sent));
      run_loop_for(fleet.loop_, below(3));
    }
    for (const auto& sent : all) {
      REQUIRE(run_loop_until(fleet.loop_, [&] { return sent->outcome_.has_value(); }));
      REQUIRE(ok(*sent->outcome_));
      CHECK(value(*sent->outcome_).prompt_ == sent->expected_prompt_);
    }
  }
}

}  // namespace birchlever

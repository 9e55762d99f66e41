/// Guards table followers against going back in time, and upstreams against removal when their entries expire
/// during an outage of the store.
#include <catch2/catch.hpp>

#include "birchlever/controllers/upstream_follower.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

auto decode_test_entry(const std::string& id, std::string_view text) -> result<upstream_entry> {
  if (text == "broken") {
    return error{error_code::malformed_json, "broken"};
  }
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.leaving_ = text == "leaving";
  return entry;
}

/// An upstream_follower of an in-memory store.
struct follower_fixture {
  explicit follower_fixture(milliseconds expiry_grace = 150) {
    rows_->put({"servers", "", "u1"}, "ready");
    follower_ =
        upstream_follower::create(loop_, rows_, "servers", directory_, decode_test_entry, expiry_grace);
    run_for(60);
  }

  auto run_for(milliseconds duration) -> void {
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds{duration});
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::shared_ptr<upstream_directory> directory_ =
      std::make_shared<upstream_directory>(upstream_directory_settings{"hall-a"});
  std::shared_ptr<upstream_follower> follower_;
};

/// A store whose feed polls fail, each `delay_` ms after its start.
class failing_feed final : public row_store_interface {
 public:
  failing_feed(event_loop& loop, std::shared_ptr<memory_row_store> inner, milliseconds delay)
      : loop_{&loop}, inner_{std::move(inner)}, delay_{delay} {}

  [[nodiscard]] auto reachable() const -> bool override { return true; }
  auto wait_until_reachable(milliseconds limit) -> task<bool> override {
    return inner_->wait_until_reachable(limit);
  }
  auto commit(row_transaction change, milliseconds left) -> task<result<commit_outcome>> override {
    return inner_->commit(std::move(change), left);
  }
  auto read(row_range range, milliseconds left) -> task<result<row_page>> override {
    return inner_->read(std::move(range), left);
  }
  auto changes(std::string /*table*/, std::int64_t /*after*/, milliseconds /*wait*/)
      -> task<result<row_page>> override {
    ++polls_;
    co_await pause_for(*loop_, delay_);
    co_return error{error_code::store_unknown, "timed_out"};
  }
  auto partitions(std::string table, std::string after, milliseconds left)
      -> task<result<std::vector<std::string>>> override {
    return inner_->partitions(std::move(table), std::move(after), left);
  }

  int polls_ = 0;

 private:
  event_loop* loop_;
  std::shared_ptr<memory_row_store> inner_;
  milliseconds delay_;
};

/// Returns the number of polls of a follower within `duration` ms if each fails after `delay` ms.
auto count_failing_polls(milliseconds delay, milliseconds retry_interval, milliseconds duration) -> int {
  auto loop = event_loop{1};
  auto feed = std::make_shared<failing_feed>(loop, std::make_shared<memory_row_store>(loop), delay);
  auto settings = table_follower_settings{};
  settings.table_ = "op";
  settings.retry_interval_ = retry_interval;
  auto ignore_rows = [](const std::vector<stored_row>& /*rows*/) {};
  auto events =
      table_follower_events{[] {}, ignore_rows, [](std::int64_t /*version*/) {}, ignore_rows, nullptr};
  auto follower = table_follower::create(loop, feed, settings, std::move(events));
  run_loop_for(loop, duration);
  return feed->polls_;
}

}  // namespace

/// Failure: after a timeout, changes stay unknown for another retry interval.
TEST_CASE("a poll that failed later than the retry interval is repeated at once, others after the interval") {
  constexpr auto duration = milliseconds{1000};
  constexpr auto retry_interval = milliseconds{100};
  CHECK(count_failing_polls(125, retry_interval, duration) >= 6);  // 5 if the interval followed each timeout.
  CHECK(count_failing_polls(10, retry_interval, duration) <= 11);
}

TEST_CASE("listed, changed and removed upstreams are applied to the directory") {
  auto fixture = follower_fixture{};
  REQUIRE(fixture.follower_->primed());
  REQUIRE(fixture.directory_->find("u1") != nullptr);
  fixture.rows_->put({"servers", "", "u2"}, "ready");
  fixture.rows_->put({"servers", "", "u1"}, "leaving");
  fixture.run_for(100);
  REQUIRE(fixture.directory_->find("u2") != nullptr);
  REQUIRE_FALSE(fixture.directory_->find("u1")->accepts_requests());
  auto removed = fixture.directory_->find("u2");
  fixture.rows_->remove({"servers", "", "u2"});
  fixture.run_for(100);
  REQUIRE(fixture.directory_->find("u2") == nullptr);
  REQUIRE_FALSE(removed->accepts_requests());
}

TEST_CASE("an undecodable entry removes its upstream only, until it can be decoded again") {
  auto fixture = follower_fixture{};
  fixture.rows_->put({"servers", "", "u2"}, "ready");
  fixture.rows_->put({"servers", "", "u1"}, "broken");
  fixture.rows_->put({"servers", "", "u3"}, "broken");
  fixture.run_for(100);
  REQUIRE(fixture.directory_->find("u1") == nullptr);
  REQUIRE(fixture.directory_->find("u3") == nullptr);
  REQUIRE(fixture.directory_->find("u2")->accepts_requests());
  REQUIRE(fixture.follower_->unreadable() == 2);
  fixture.rows_->put({"servers", "", "u1"}, "ready");
  fixture.run_for(100);
  REQUIRE(fixture.directory_->find("u1")->accepts_requests());
}

/// Load pattern: hundreds of daemons start at once before thousands of upstreams.
TEST_CASE("a scan of a long table ends early, and later rows become known when they change") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  for (auto number = 1000; number < 4000; ++number) {
    rows->put({"servers", "", "u" + std::to_string(number)}, "ready");
  }
  auto known = std::set<std::string>{};
  auto ended = 0;
  auto record = [&known](const std::vector<stored_row>& rows_read) {
    for (const auto& row : rows_read) {
      known.insert(row.key_.key_);
    }
  };
  auto settings = table_follower_settings{};
  settings.table_ = "servers";
  settings.max_scan_rows_ = 1200;
  auto events =
      table_follower_events{[] {}, record, [&ended](std::int64_t /*version*/) { ++ended; }, record, nullptr};
  auto follower = table_follower::create(loop, rows, settings, std::move(events));
  run_loop_for(loop, 100);
  CHECK(ended == 1);
  CHECK(known.size() == 1500);  // Whole pages of 500.
  CHECK(rows->reads() == 3);
  rows->put({"servers", "", "u3999"}, "ready");
  run_loop_for(loop, 100);
  CHECK(known.count("u3999") == 1);
}

TEST_CASE("lost history leads to a new scan that finds the missed changes") {
  auto fixture = follower_fixture{};
  fixture.rows_->faults().history_gone_ = true;
  fixture.rows_->remove({"servers", "", "u1"});
  fixture.rows_->put({"servers", "", "u2"}, "ready");
  fixture.run_for(150);
  REQUIRE(fixture.directory_->find("u1") == nullptr);
  REQUIRE(fixture.directory_->find("u2") != nullptr);
}

TEST_CASE("an upstream that expired during a store outage is kept for a grace period after it") {
  auto fixture = follower_fixture{};
  fixture.rows_->put({"servers", "", "u2"}, "ready");
  fixture.run_for(50);
  fixture.rows_->faults().down_ = true;
  fixture.rows_->remove({"servers", "", "u1"});  // Wakes the poll in flight, which still succeeds.
  fixture.rows_->put({"servers", "", "u1"}, "ready");
  fixture.run_for(400);
  REQUIRE(fixture.follower_->store_unreachable());
  fixture.rows_->remove({"servers", "", "u1"});
  fixture.rows_->remove({"servers", "", "u2"});
  fixture.rows_->faults().down_ = false;
  auto clock = steady_clock{};
  auto deadline = clock.now() + 2000;
  while (fixture.follower_->store_unreachable() && clock.now() < deadline) {
    fixture.run_for(10);
  }
  REQUIRE(fixture.directory_->find("u1") != nullptr);  // Expired, not yet removed.
  fixture.rows_->put({"servers", "", "u1"}, "ready");
  fixture.run_for(500);
  REQUIRE(fixture.directory_->find("u1") != nullptr);
  REQUIRE(fixture.directory_->find("u2") == nullptr);
}

}  // namespace birchlever

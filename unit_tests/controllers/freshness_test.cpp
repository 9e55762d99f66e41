/// Guards the time up to which a follower's rows are verified while the store responds, is unreachable, or
/// loses its history.
#include <catch2/catch.hpp>

#include "birchlever/controllers/table_follower.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

/// A follower that records the latest verified time and the value delivered before it.
struct recording_follower {
  explicit recording_follower(milliseconds wait) {
    rows_->put({"op", "", "config"}, "first");
    auto settings = table_follower_settings{};
    settings.table_ = "op";
    settings.wait_ = wait;
    settings.retry_interval_ = 20;
    auto record = [this](const std::vector<stored_row>& rows) {
      for (const auto& row : rows) {
        latest_value_ = row.value_;
      }
    };
    auto record_verified = [this](milliseconds poll_started_at) {
      verified_at_ = poll_started_at;
      ++verified_count_;
      verified_value_ = latest_value_;
    };
    auto events =
        table_follower_events{[] {}, record, [](std::int64_t /*version*/) {}, record, record_verified};
    follower_ = table_follower::create(loop_, rows_, settings, std::move(events));
    REQUIRE(run_loop_until(loop_, [this] { return verified_count_ > 0; }));
  }

  event_loop loop_{1};
  steady_clock clock_;
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::shared_ptr<table_follower> follower_;
  std::string latest_value_;
  std::string verified_value_;
  milliseconds verified_at_ = 0;
  int verified_count_ = 0;
};

constexpr auto long_wait = milliseconds{3000};

}  // namespace

TEST_CASE("a poll verifies the rows as of its start, not as of its response") {
  auto fixture = recording_follower{120};
  auto before = fixture.verified_count_;
  REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.verified_count_ > before; }));
  CHECK(fixture.clock_.now() - fixture.verified_at_ >= 100);
}

TEST_CASE("changes are delivered before they count as verified") {
  auto fixture = recording_follower{long_wait};
  fixture.rows_->put({"op", "", "config"}, "second");
  REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.verified_value_ == "second"; }));
}

TEST_CASE("an unreachable store verifies nothing, and poll_now does once it is reachable again") {
  auto fixture = recording_follower{30};
  fixture.rows_->faults().down_ = true;
  run_loop_for(fixture.loop_, 100);
  auto before = fixture.verified_count_;
  CHECK(!run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  run_loop_for(fixture.loop_, 100);
  CHECK(fixture.verified_count_ == before);
  fixture.rows_->faults().down_ = false;
  auto started_at = fixture.clock_.now();
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.verified_at_ >= started_at);
}

TEST_CASE("poll_now does not wait for a long poll in flight") {
  auto fixture = recording_follower{long_wait};
  run_loop_for(fixture.loop_, 150);
  auto started_at = fixture.clock_.now();
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.verified_at_ >= started_at);
  CHECK(fixture.clock_.now() - started_at < long_wait / 2);
}

TEST_CASE("lost history verifies nothing until a scan has delivered the missed changes") {
  auto fixture = recording_follower{long_wait};
  run_loop_for(fixture.loop_, 50);
  fixture.rows_->faults().history_gone_ = true;
  fixture.rows_->put({"op", "", "config"}, "missed");
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.verified_value_ == "missed");
}

}  // namespace birchlever

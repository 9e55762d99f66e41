/// From which moment on a follower's knowledge is sure, as the store answers, is away, or loses its history.
#include <catch2/catch.hpp>

#include "birchlever/controllers/table_follower.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

/// A follower that notes when what it knows was sure, and the newest value that it told before.
struct noting_follower {
  explicit noting_follower(milliseconds wait) {
    rows_->put({"op", "", "config"}, "first");
    auto settings = table_follower_settings{};
    settings.table_ = "op";
    settings.wait_ = wait;
    settings.retry_gap_ = 20;
    auto take = [this](const std::vector<stored_row>& rows) {
      for (const auto& row : rows) {
        told_ = row.value_;
      }
    };
    auto note = [this](milliseconds began_at) {
      sure_at_ = began_at;
      ++answers_;
      told_when_sure_ = told_;
    };
    auto events = table_follower_events{[] {}, take, [](std::int64_t /*version*/) {}, take, note};
    follower_ = table_follower::create(loop_, rows_, settings, std::move(events));
    REQUIRE(run_loop_until(loop_, [this] { return answers_ > 0; }));
  }

  event_loop loop_{1};
  steady_clock clock_;
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::shared_ptr<table_follower> follower_;
  std::string told_;
  std::string told_when_sure_;
  milliseconds sure_at_ = 0;
  int answers_ = 0;
};

constexpr auto long_wait = milliseconds{3000};

}  // namespace

TEST_CASE("an answered look makes knowledge sure from its beginning, not from its answer") {
  auto fixture = noting_follower{120};
  auto before = fixture.answers_;
  REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.answers_ > before; }));
  CHECK(fixture.clock_.now() - fixture.sure_at_ >= 100);
}

TEST_CASE("what a look told is in force before the knowledge counts as sure") {
  auto fixture = noting_follower{long_wait};
  fixture.rows_->put({"op", "", "config"}, "second");
  REQUIRE(run_loop_until(fixture.loop_, [&] { return fixture.told_when_sure_ == "second"; }));
}

TEST_CASE("a store that is away makes nothing sure, and a look at once does as soon as it is back") {
  auto fixture = noting_follower{30};
  fixture.rows_->faults().down_ = true;
  run_loop_for(fixture.loop_, 100);
  auto before = fixture.answers_;
  CHECK(!run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  run_loop_for(fixture.loop_, 100);
  CHECK(fixture.answers_ == before);
  fixture.rows_->faults().down_ = false;
  auto asked_at = fixture.clock_.now();
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.sure_at_ >= asked_at);
}

TEST_CASE("a look at once need not wait for one that the store holds") {
  auto fixture = noting_follower{long_wait};
  run_loop_for(fixture.loop_, 150);
  auto asked_at = fixture.clock_.now();
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.sure_at_ >= asked_at);
  CHECK(fixture.clock_.now() - asked_at < long_wait / 2);
}

TEST_CASE("forgotten history makes nothing sure until a scan has told what was missed") {
  auto fixture = noting_follower{long_wait};
  run_loop_for(fixture.loop_, 50);
  fixture.rows_->faults().history_gone_ = true;
  fixture.rows_->put({"op", "", "config"}, "missed");
  CHECK(run_to_end(fixture.loop_, fixture.follower_->poll_now()));
  CHECK(fixture.told_when_sure_ == "missed");
}

}  // namespace birchlever

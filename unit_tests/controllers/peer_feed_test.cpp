/// Guards reading a table through followers: only effective changes are served, and a daemon that gets no
/// updates polls the store itself.
#include "birchlever/controllers/peer_feed.h"
#include "birchlever/core/hashing.h"

#include <catch2/catch.hpp>

#include "birchlever/controllers/peer_views.h"
#include "birchlever/controllers/upstream_follower.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

auto row_of(const std::string& key, const std::string& value, std::int64_t version) -> stored_row {
  return {{"servers", "", key}, value, version, false};
}

/// The part before '#' is compared; the rest is a heartbeat.
auto row_comparison_key(const stored_row& row) -> std::uint64_t {
  return hash_of(row.value_.substr(0, row.value_.find('#')));
}

/// A store that counts the polls of its feed.
class counting_store final : public row_store_interface {
 public:
  explicit counting_store(std::shared_ptr<memory_row_store> inner) : inner_{std::move(inner)} {}

  [[nodiscard]] auto reachable() const -> bool override { return inner_->reachable(); }
  auto wait_until_reachable(milliseconds limit) -> task<bool> override {
    return inner_->wait_until_reachable(limit);
  }
  auto commit(row_transaction change, milliseconds left) -> task<result<commit_outcome>> override {
    return inner_->commit(std::move(change), left);
  }
  auto read(row_range range, milliseconds left) -> task<result<row_page>> override {
    return inner_->read(std::move(range), left);
  }
  auto changes(std::string table, std::int64_t after, milliseconds wait) -> task<result<row_page>> override {
    ++polls_;
    return inner_->changes(std::move(table), after, wait);
  }
  auto partitions(std::string table, std::string after, milliseconds left)
      -> task<result<std::vector<std::string>>> override {
    return inner_->partitions(std::move(table), std::move(after), left);
  }

  int polls_ = 0;

 private:
  std::shared_ptr<memory_row_store> inner_;
};

auto decode_entry(const std::string& id, std::string_view text) -> result<upstream_entry> {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.leaving_ = text.substr(0, text.find('#')) == "leaving";
  return entry;
}

/// A daemon that reads the table through a follower if one is known.
struct feed_daemon {
  feed_daemon(event_loop& loop, const std::string& vm, const std::shared_ptr<memory_row_store>& rows)
      : vm_{vm}, store_{std::make_shared<counting_store>(rows)} {
    address_ = "127.0.0.1:" + std::to_string(free_port(loop));
    auto settings = peer_feed_settings{};
    settings.vm_ = vm;
    settings.followers_ = 1;
    settings.poll_wait_ = 150;
    settings.response_grace_ = 100;
    settings.store_poll_wait_ = 100;
    settings.max_start_delay_ = 0;
    feed_ = peer_feed::create(loop, store_, views_, settings, row_comparison_key);
    auto page = [feed = feed_](const http_request& request) { return feed->answer(request); };
    auto listening = http_listener::create(loop, address_, serve_pages(page));
    REQUIRE(ok(listening));
    listener_ = value(listening);
    follower_ = upstream_follower::create(loop, store_, "servers", directory_, decode_entry, 100, feed_);
  }

  auto describe() const -> peer_state {
    auto state = peer_state{};
    state.vm_ = vm_;
    state.control_address_ = address_;
    state.follows_ = feed_->follows();
    return state;
  }

  std::string vm_;
  std::string address_;
  std::shared_ptr<counting_store> store_;
  peer_views views_{vm_, 60000, std::make_shared<steady_clock>()};
  std::shared_ptr<peer_feed> feed_;
  std::shared_ptr<http_listener> listener_;
  std::shared_ptr<upstream_directory> directory_ =
      std::make_shared<upstream_directory>(upstream_directory_settings{});
  std::shared_ptr<upstream_follower> follower_;
};

/// Two daemons, the second of which reads the table through the first.
struct feed_fixture {
  feed_fixture() {
    rows_->put({"servers", "", "u1"}, "ready#1");
    REQUIRE(run_loop_until(loop_, [&] { return first_.feed_->follows() && second_.follower_->primed(); }));
    auto& follower = first_follower();
    auto& reader = &follower == &first_ ? second_ : first_;
    reader.views_.record_state(follower.describe());
    reader_ = &reader;
    follower_daemon_ = &follower;
    run_loop_for(loop_, 300);  // Lets a store poll in flight finish.
  }

  /// Returns the daemon that ranks first as follower; with the roles swapped both would poll the store.
  auto first_follower() -> feed_daemon& {
    auto seen = peer_views{"vm-2", 60000, std::make_shared<steady_clock>()};
    seen.record_state(first_.describe());
    return seen.preferred_for("followers") ? second_ : first_;
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  feed_daemon first_{loop_, "vm-1", rows_};
  feed_daemon second_{loop_, "vm-2", rows_};
  feed_daemon* reader_ = nullptr;
  feed_daemon* follower_daemon_ = nullptr;
};

}  // namespace

TEST_CASE("heartbeats are no effective changes, and changes older than the log are reported as unknown") {
  auto log = change_log{row_comparison_key};
  log.reset({row_of("u1", "ready#1", 3), row_of("u2", "ready#1", 5)}, 5);
  log.apply({row_of("u1", "ready#2", 6), row_of("u2", "ready#2", 7)}, 7);
  CHECK(log.since(5)->empty());
  CHECK(log.version() == 7);
  log.apply({row_of("u1", "leaving#3", 8)}, 8);
  REQUIRE(log.since(5)->size() == 1);
  CHECK(log.since(8)->empty());
  CHECK_FALSE(log.since(4));
  auto removed = row_of("u2", "", 0);
  removed.removed_ = true;
  log.apply({removed}, 11);
  REQUIRE(log.since(8)->size() == 1);
  CHECK(log.since(8)->front().removed_);
  log.apply({removed}, 12);  // Removed already.
  CHECK(log.since(11)->empty());
}

TEST_CASE("an entry that expires and is listed again yields both changes") {
  auto log = change_log{row_comparison_key};
  log.reset({row_of("u1", "ready#1", 3)}, 5);
  auto removed = row_of("u1", "", 6);
  removed.removed_ = true;
  log.apply({removed}, 6);
  log.apply({row_of("u1", "ready#9", 9)}, 9);
  REQUIRE(log.since(5)->size() == 2);
  CHECK_FALSE(log.since(5)->back().removed_);
}

TEST_CASE("a log keeps a bounded number of changes and reports older ones as unknown") {
  auto log = change_log{row_comparison_key};
  log.reset({}, 1);
  for (auto version = std::int64_t{2}; version < 6000; ++version) {
    log.apply({row_of("u1", "state-" + std::to_string(version), version)}, version);
  }
  CHECK_FALSE(log.since(2));
  REQUIRE(log.since(5990));
  CHECK(log.since(5990)->size() == 9);
}

TEST_CASE("a daemon served by a follower does not poll the store and learns promptly of a leaving upstream") {
  auto fixture = feed_fixture{};
  auto polls = fixture.reader_->store_->polls_;
  for (auto beat = 2; beat < 12; ++beat) {
    fixture.rows_->put({"servers", "", "u1"}, "ready#" + std::to_string(beat));
    run_loop_for(fixture.loop_, 20);
  }
  fixture.rows_->put({"servers", "", "u1"}, "leaving#12");
  auto known = [&] { return !fixture.reader_->directory_->find("u1")->accepts_requests(); };
  CHECK(run_loop_until(fixture.loop_, known, 600));
  CHECK(fixture.reader_->store_->polls_ == polls);
  CHECK(fixture.follower_daemon_->store_->polls_ > 5);
}

TEST_CASE("a daemon with an unresponsive follower polls the store instead") {
  auto fixture = feed_fixture{};
  fixture.follower_daemon_->listener_->stop();
  auto unresponsive = peer_state{fixture.follower_daemon_->describe()};
  unresponsive.control_address_ = "127.0.0.1:" + std::to_string(free_port(fixture.loop_));
  fixture.reader_->views_.record_state(unresponsive);
  fixture.rows_->put({"servers", "", "u1"}, "leaving#2");
  auto known = [&] { return !fixture.reader_->directory_->find("u1")->accepts_requests(); };
  CHECK(run_loop_until(fixture.loop_, known, 1000));
}

TEST_CASE(
    "a follower serves nothing during a store outage, and expired entries get a grace period after it") {
  auto fixture = feed_fixture{};
  fixture.rows_->faults().down_ = true;
  CHECK(run_loop_until(
      fixture.loop_, [&] { return fixture.reader_->follower_->store_unreachable(); }, 4000));
  fixture.rows_->remove({"servers", "", "u1"});
  fixture.rows_->faults().down_ = false;
  CHECK(run_loop_until(
      fixture.loop_, [&] { return !fixture.reader_->follower_->store_unreachable(); }, 4000));
  auto removed = [&] { return fixture.reader_->directory_->find("u1") == nullptr; };
  CHECK(run_loop_until(fixture.loop_, removed, 3000));
}

TEST_CASE("a poll ahead of the follower's version is answered once the follower has caught up") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  rows->put({"servers", "", "u1"}, "ready#1");
  auto views = peer_views{"vm-1", 1500, std::make_shared<steady_clock>()};
  auto settings = peer_feed_settings{};
  settings.vm_ = "vm-1";
  settings.max_start_delay_ = 0;
  auto feed = peer_feed::create(loop, rows, views, settings, row_comparison_key);
  feed->start_scan();
  feed->finish_scan(0);
  feed->start_scan();
  feed->finish_scan(1);
  auto status = 0U;
  auto ask = [&]() -> task<> {
    auto request = http_request{http::verb::get, "/changes/2/600", 11};
    auto answer = co_await feed->answer(request);
    status = answer.result_int();
  };
  start(loop, "ask", ask());
  run_loop_for(loop, 50);
  CHECK(status == 0);
  rows->put({"servers", "", "u1"}, "ready#2");
  rows->put({"servers", "", "u1"}, "leaving#3");
  run_to_end(loop, feed->changes("servers", 1));  // Polls the store, since no peer is known.
  REQUIRE(run_loop_until(
      loop, [&] { return status != 0; }, 600));
  CHECK(status == 200);
}

TEST_CASE("followers are forwarded with their age, time out, and are dropped when they stop following") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(10'000);
  auto views = peer_views{"vm-1", 1500, clock};
  auto reporter = peer_state{};
  reporter.vm_ = "vm-2";
  reporter.followers_ = {{"vm-3", "10.0.0.3:80", 0.5, 1000}, {"vm-1", "10.0.0.1:80", 0.5, 0}};
  views.record_state(reporter);
  REQUIRE(views.followers_within(3000).size() == 1);  // This daemon itself is left out.
  CHECK(views.followers_within(3000)[0].vm_ == "vm-3");
  CHECK(views.followers_within(3000)[0].age_ == 1000);
  CHECK(views.followers_within(900).empty());
  clock->advance(1000);
  views.record_state(reporter);  // Repeated with the same age, but received 1000 ms later.
  CHECK(views.followers_within(3000)[0].age_ == 1000);
  auto other = peer_state{};
  other.vm_ = "vm-3";
  views.record_state(other);
  CHECK(views.followers_within(3000).empty());
  clock->advance(5000);
  other.follows_ = true;
  views.record_state(other);
  clock->advance(3001);
  CHECK(views.followers_within(3000).empty());
}

TEST_CASE("a malformed poll is rejected, and a daemon without a complete scan serves no changes") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto views = peer_views{"vm-1", 1500, std::make_shared<steady_clock>()};
  auto feed = peer_feed::create(loop, rows, views, {"vm-1"}, row_comparison_key);
  auto status_of = [&](const char* target) {
    auto request = http_request{http::verb::get, target, 11};
    return run_to_end(loop, feed->answer(request)).result_int();
  };
  CHECK(status_of("/changes/") == 400);
  CHECK(status_of("/changes/7") == 400);
  CHECK(status_of("/changes/-7/100") == 400);
  CHECK(status_of("/changes/7/100000000") == 400);
  CHECK(status_of("/changes/7/100") == 503);
  feed->start_scan();
  feed->add_page({row_of("u1", "ready", 3)});
  CHECK(status_of("/changes/7/100") == 503);  // The scan is incomplete.
  feed->finish_scan(9);
  CHECK(status_of("/changes/7/100") == 410);
  CHECK(status_of("/changes/9/50") == 200);
}

}  // namespace birchlever

/// A table that is followed through peers: only changes that mean something are told, and whoever is not told
/// in time looks itself.
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

/// The text before a sign is what matters; the rest is a heartbeat.
auto meaning(const stored_row& row) -> std::uint64_t {
  return hash_of(row.value_.substr(0, row.value_.find('#')));
}

/// A store that counts the looks at its feed, and may answer none of them.
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
    ++looks_;
    return inner_->changes(std::move(table), after, wait);
  }
  auto partitions(std::string table, std::string after, milliseconds left)
      -> task<result<std::vector<std::string>>> override {
    return inner_->partitions(std::move(table), std::move(after), left);
  }

  int looks_ = 0;

 private:
  std::shared_ptr<memory_row_store> inner_;
};

auto decode_entry(const std::string& id, std::string_view text) -> result<upstream_entry> {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.leaving_ = text.substr(0, text.find('#')) == "leaving";
  return entry;
}

/// A daemon that follows the table through others where it can.
struct feed_daemon {
  feed_daemon(event_loop& loop, const std::string& vm, const std::shared_ptr<memory_row_store>& rows)
      : vm_{vm}, store_{std::make_shared<counting_store>(rows)} {
    address_ = "127.0.0.1:" + std::to_string(free_port(loop));
    auto settings = peer_feed_settings{};
    settings.vm_ = vm;
    settings.followers_ = 1;
    settings.wait_ = 150;
    settings.grace_ = 100;
    settings.store_wait_ = 100;
    settings.start_delay_ = 0;
    feed_ = peer_feed::create(loop, store_, views_, settings, meaning);
    auto page = [feed = feed_](const http_request& request) { return feed->answer(request); };
    auto listening = http_listener::create(loop, address_, serve_pages(page));
    REQUIRE(ok(listening));
    listener_ = value(listening);
    follower_ = upstream_follower::create(loop, store_, "servers", directory_, decode_entry, 100, feed_);
  }

  auto say() const -> peer_state {
    auto said = peer_state{};
    said.vm_ = vm_;
    said.control_address_ = address_;
    said.follows_ = feed_->follows();
    return said;
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

/// Two daemons, of which the second follows through the first.
struct feed_fixture {
  feed_fixture() {
    rows_->put({"servers", "", "u1"}, "ready#1");
    REQUIRE(run_loop_until(loop_, [&] { return one_.feed_->follows() && two_.follower_->primed(); }));
    auto& first = rendezvous_first();
    auto& second = &first == &one_ ? two_ : one_;
    second.views_.hear(first.say());
    told_ = &second;
    telling_ = &first;
    run_loop_for(loop_, 300);  // A look at the store that was under way ends.
  }

  /// The daemon that the other one takes for its follower; the other way round each would look itself.
  auto rendezvous_first() -> feed_daemon& {
    auto heard = peer_views{"vm-2", 60000, std::make_shared<steady_clock>()};
    heard.hear(one_.say());
    return heard.preferred_for("followers") ? two_ : one_;
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  feed_daemon one_{loop_, "vm-1", rows_};
  feed_daemon two_{loop_, "vm-2", rows_};
  feed_daemon* told_ = nullptr;
  feed_daemon* telling_ = nullptr;
};

}  // namespace

TEST_CASE("heartbeats are no changes; what is forgotten is not made up") {
  auto log = change_log{meaning};
  log.reset({row_of("u1", "ready#1", 3), row_of("u2", "ready#1", 5)}, 5);
  log.take({row_of("u1", "ready#2", 6), row_of("u2", "ready#2", 7)}, 7);
  CHECK(log.since(5)->empty());
  CHECK(log.version() == 7);
  log.take({row_of("u1", "leaving#3", 8)}, 8);
  REQUIRE(log.since(5)->size() == 1);
  CHECK(log.since(8)->empty());
  CHECK_FALSE(log.since(4));
  auto gone = row_of("u2", "", 0);
  gone.removed_ = true;
  log.take({gone}, 11);
  REQUIRE(log.since(8)->size() == 1);
  CHECK(log.since(8)->front().removed_);
  log.take({gone}, 12);  // Gone already.
  CHECK(log.since(11)->empty());
}

TEST_CASE("an entry that lapses and returns is told both times") {
  auto log = change_log{meaning};
  log.reset({row_of("u1", "ready#1", 3)}, 5);
  auto gone = row_of("u1", "", 6);
  gone.removed_ = true;
  log.take({gone}, 6);
  log.take({row_of("u1", "ready#9", 9)}, 9);
  REQUIRE(log.since(5)->size() == 2);
  CHECK_FALSE(log.since(5)->back().removed_);
}

TEST_CASE("a log keeps a bounded number of changes and says which it has forgotten") {
  auto log = change_log{meaning};
  log.reset({}, 1);
  for (auto version = std::int64_t{2}; version < 6000; ++version) {
    log.take({row_of("u1", "state-" + std::to_string(version), version)}, version);
  }
  CHECK_FALSE(log.since(2));
  REQUIRE(log.since(5990));
  CHECK(log.since(5990)->size() == 9);
}

TEST_CASE("a daemon that is told of changes makes no calls, and knows of a leaving upstream at once") {
  auto fixture = feed_fixture{};
  auto looks = fixture.told_->store_->looks_;
  for (auto beat = 2; beat < 12; ++beat) {
    fixture.rows_->put({"servers", "", "u1"}, "ready#" + std::to_string(beat));
    run_loop_for(fixture.loop_, 20);
  }
  fixture.rows_->put({"servers", "", "u1"}, "leaving#12");
  auto known = [&] { return !fixture.told_->directory_->find("u1")->takes_requests(); };
  CHECK(run_loop_until(fixture.loop_, known, 600));
  CHECK(fixture.told_->store_->looks_ == looks);
  CHECK(fixture.telling_->store_->looks_ > 5);
}

TEST_CASE("a follower that hangs is left, and the store is looked at instead") {
  auto fixture = feed_fixture{};
  fixture.telling_->listener_->stop();
  auto silent = peer_state{fixture.telling_->say()};
  silent.control_address_ = "127.0.0.1:" + std::to_string(free_port(fixture.loop_));
  fixture.told_->views_.hear(silent);
  fixture.rows_->put({"servers", "", "u1"}, "leaving#2");
  auto known = [&] { return !fixture.told_->directory_->find("u1")->takes_requests(); };
  CHECK(run_loop_until(fixture.loop_, known, 1000));
}

TEST_CASE("while the store is away a follower tells nothing, and what lapsed meanwhile gets time to return") {
  auto fixture = feed_fixture{};
  fixture.rows_->faults().down_ = true;
  CHECK(run_loop_until(
      fixture.loop_, [&] { return fixture.told_->follower_->lost(); }, 4000));
  fixture.rows_->remove({"servers", "", "u1"});
  fixture.rows_->faults().down_ = false;
  CHECK(run_loop_until(
      fixture.loop_, [&] { return !fixture.told_->follower_->lost(); }, 4000));
  auto gone = [&] { return fixture.told_->directory_->find("u1") == nullptr; };
  CHECK(run_loop_until(fixture.loop_, gone, 3000));
}

TEST_CASE("a daemon that knows more than its follower is told when that one has caught up") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  rows->put({"servers", "", "u1"}, "ready#1");
  auto views = peer_views{"vm-1", 1500, std::make_shared<steady_clock>()};
  auto settings = peer_feed_settings{};
  settings.vm_ = "vm-1";
  settings.start_delay_ = 0;
  auto feed = peer_feed::create(loop, rows, views, settings, meaning);
  feed->begin_scan();
  feed->end_scan(0);
  feed->begin_scan();
  feed->end_scan(1);
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
  run_to_end(loop, feed->changes("servers", 1));  // Without peers it looks itself.
  REQUIRE(run_loop_until(
      loop, [&] { return status != 0; }, 600));
  CHECK(status == 200);
}

TEST_CASE(
    "followers are told on with their age, fade, and are forgotten when they say that they follow no more") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(10'000);
  auto views = peer_views{"vm-1", 1500, clock};
  auto teller = peer_state{};
  teller.vm_ = "vm-2";
  teller.followers_ = {{"vm-3", "10.0.0.3:80", 0.5, 1000}, {"vm-1", "10.0.0.1:80", 0.5, 0}};
  views.hear(teller);
  REQUIRE(views.followers_within(3000).size() == 1);  // Not this daemon itself.
  CHECK(views.followers_within(3000)[0].vm_ == "vm-3");
  CHECK(views.followers_within(3000)[0].age_ == 1000);
  CHECK(views.followers_within(900).empty());
  clock->advance(1000);
  views.hear(teller);  // The same again is no newer... but for the time that has passed.
  CHECK(views.followers_within(3000)[0].age_ == 1000);
  auto itself = peer_state{};
  itself.vm_ = "vm-3";
  views.hear(itself);
  CHECK(views.followers_within(3000).empty());
  clock->advance(5000);
  itself.follows_ = true;
  views.hear(itself);
  clock->advance(3001);
  CHECK(views.followers_within(3000).empty());
}

TEST_CASE("a look that can't be read is refused, and a daemon without a view tells nobody") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto views = peer_views{"vm-1", 1500, std::make_shared<steady_clock>()};
  auto feed = peer_feed::create(loop, rows, views, {"vm-1"}, meaning);
  auto status_of = [&](const char* target) {
    auto request = http_request{http::verb::get, target, 11};
    return run_to_end(loop, feed->answer(request)).result_int();
  };
  CHECK(status_of("/changes/") == 400);
  CHECK(status_of("/changes/7") == 400);
  CHECK(status_of("/changes/-7/100") == 400);
  CHECK(status_of("/changes/7/100000000") == 400);
  CHECK(status_of("/changes/7/100") == 503);
  feed->begin_scan();
  feed->take_page({row_of("u1", "ready", 3)});
  CHECK(status_of("/changes/7/100") == 503);  // Half of a table is none.
  feed->end_scan(9);
  CHECK(status_of("/changes/7/100") == 410);
  CHECK(status_of("/changes/9/50") == 200);
}

}  // namespace birchlever

/// What a daemon's own link explains is no news of an upstream.
#include "birchlever/upstream/local_link.h"

#include <catch2/catch.hpp>

#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

/// A directory of eight upstreams on a clock that the test moves, and what it told its peers.
struct link_fixture {
  link_fixture() {
    clock_->advance(100000);
    auto settings = upstream_directory_settings{};
    settings.clock_ = clock_;
    directory_ = std::make_unique<upstream_directory>(settings);
    for (auto number = 0; number < 8; ++number) {
      auto entry = upstream_entry{};
      entry.id_ = "u" + std::to_string(number);
      directory_->put(entry);
    }
    directory_->on_health_report([this](const upstream_health_report& news) { told_.push_back(news); });
  }

  /// A request that takes 20 ms.
  auto request(const std::string& id, upstream_outcome evidence) -> void {
    auto target = directory_->find(id);
    auto began = directory_->record_sent(*target, {});
    clock_->advance(20);
    if (evidence == upstream_outcome::served) {
      directory_->record_response_started(*target, began);
    }
    directory_->record_finished(*target, began, evidence);
  }

  auto avoided() const -> int {
    auto count = 0;
    directory_->each([&](const upstream& one) { count += one.health().avoided(clock_->now()) ? 1 : 0; });
    return count;
  }

  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  std::unique_ptr<upstream_directory> directory_;
  std::vector<upstream_health_report> told_;
};

}  // namespace

TEST_CASE("a failure is told while other upstreams answer") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  fixture.request("u1", upstream_outcome::failed);
  REQUIRE(fixture.told_.size() == 1);
  CHECK(fixture.told_[0].id_ == "u1");
  CHECK(fixture.told_[0].failed_);
}

TEST_CASE("a daemon whose link is cut tells nobody and avoids nothing") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  fixture.clock_->advance(700);
  for (auto round = 0; round < 4; ++round) {
    for (auto number = 0; number < 8; ++number) {
      fixture.request("u" + std::to_string(number), upstream_outcome::failed);
    }
  }
  CHECK(fixture.told_.empty());
  CHECK(fixture.avoided() == 0);
}

TEST_CASE("connections that are reset all at once are no news of their upstreams") {
  auto link = local_link{};
  link.record_response("u0", 1000, 1010);
  for (const auto* id : {"u1", "u2", "u3"}) {
    link.record_failure(id, 1020);
  }
  CHECK(link.status_for("u3", 1005, 1020) == link_status::faulty);
  link.record_response("u0", 1030, 1200);
  link.record_failure("u1", 1210);
  CHECK(link.status_for("u1", 1205, 1210) == link_status::healthy);
}

TEST_CASE("the only upstream that is tried is left although nothing proves the link") {
  auto fixture = link_fixture{};
  for (auto tries = 0; tries < 2; ++tries) {
    fixture.request("u0", upstream_outcome::failed);
  }
  CHECK(fixture.avoided() == 1);
  CHECK(fixture.told_.empty());
}

TEST_CASE("requests that waited while the link was silent do not show that their upstream hangs") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  auto lost = fixture.directory_->find("u1");
  fixture.directory_->record_sent(*lost, {});
  auto held_up = fixture.directory_->find("u2");
  auto began = fixture.directory_->record_sent(*held_up, {});
  fixture.clock_->advance(2000);
  fixture.directory_->record_response_started(*held_up, began);
  fixture.directory_->record_finished(*held_up, began, upstream_outcome::served);
  fixture.directory_->detect_stalled();
  CHECK(fixture.avoided() == 0);
  fixture.directory_->record_sent(*lost, {});
  for (auto answers = 0; answers < 4; ++answers) {
    fixture.clock_->advance(480);
    fixture.request("u0", upstream_outcome::served);
  }
  fixture.directory_->detect_stalled();
  CHECK(fixture.avoided() == 1);
}

TEST_CASE("peers count once in a row, and one request that is served ends the row") {
  auto health = upstream_health{};
  CHECK_FALSE(health.record_peer_failure("vm-1", 10000));
  CHECK_FALSE(health.record_peer_failure("vm-1", 10010));
  CHECK_FALSE(health.record_peer_failure("vm-2", 10020));
  CHECK(health.suspected(10030));
  health.record_success();
  CHECK_FALSE(health.suspected(10030));
  CHECK_FALSE(health.record_peer_failure("vm-3", 10040));
  CHECK_FALSE(health.record_peer_failure("vm-4", 10050));
  CHECK(health.record_peer_failure("vm-5", 10060));
  CHECK(health.avoided(10070));
}

TEST_CASE("a peer that tried again and failed keeps the others from trying") {
  auto health = upstream_health{};
  CHECK_FALSE(health.record_failure(10000));
  CHECK(health.record_failure(10010));
  CHECK(health.avoid_until() == 10510);
  CHECK_FALSE(health.record_peer_failure("vm-1", 10100));  // Of a request sent before.
  CHECK(health.avoid_until() == 10510);
  CHECK_FALSE(health.record_peer_failure("vm-1", 10400));
  CHECK(health.avoid_until() == 11400);
}

TEST_CASE("that a suspected upstream serves is told to peers") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  CHECK(fixture.told_.empty());
  fixture.directory_->apply_peer_report("vm-2", {"u0", true});
  fixture.request("u0", upstream_outcome::served);
  REQUIRE(fixture.told_.size() == 1);
  CHECK_FALSE(fixture.told_[0].failed_);
}

}  // namespace birchlever

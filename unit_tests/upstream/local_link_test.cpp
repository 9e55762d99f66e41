/// Tests that failures caused by the local network link are not attributed to upstreams.
#include "birchlever/upstream/local_link.h"

#include <catch2/catch.hpp>

#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

/// Directory of eight upstreams with a manual clock, recording its health reports.
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
    directory_->on_health_report(
        [this](const upstream_health_report& report) { reports_.push_back(report); });
  }

  /// Runs a request that takes 20 ms.
  auto request(const std::string& id, upstream_outcome evidence) -> void {
    auto target = directory_->find(id);
    auto sent_at = directory_->record_sent(*target, {});
    clock_->advance(20);
    if (evidence == upstream_outcome::served) {
      directory_->record_response_started(*target, sent_at);
    }
    directory_->record_finished(*target, sent_at, evidence);
  }

  auto avoided() const -> int {
    auto count = 0;
    directory_->each(
        [&](const upstream& target) { count += target.health().avoided(clock_->now()) ? 1 : 0; });
    return count;
  }

  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  std::unique_ptr<upstream_directory> directory_;
  std::vector<upstream_health_report> reports_;
};

}  // namespace

TEST_CASE("a failure is reported while other upstreams respond") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  fixture.request("u1", upstream_outcome::failed);
  REQUIRE(fixture.reports_.size() == 1);
  CHECK(fixture.reports_[0].id_ == "u1");
  CHECK(fixture.reports_[0].failed_);
}

TEST_CASE("a daemon with a failed link reports no failures and avoids no upstream") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  fixture.clock_->advance(700);
  for (auto round = 0; round < 4; ++round) {
    for (auto number = 0; number < 8; ++number) {
      fixture.request("u" + std::to_string(number), upstream_outcome::failed);
    }
  }
  CHECK(fixture.reports_.empty());
  CHECK(fixture.avoided() == 0);
}

TEST_CASE("simultaneous connection resets are attributed to the link") {
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

TEST_CASE("the only upstream in use is avoided after failures even if the link is unproven") {
  auto fixture = link_fixture{};
  for (auto attempt = 0; attempt < 2; ++attempt) {
    fixture.request("u0", upstream_outcome::failed);
  }
  CHECK(fixture.avoided() == 1);
  CHECK(fixture.reports_.empty());
}

TEST_CASE("requests delayed by a link outage do not indicate a stalled upstream") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  auto unresponsive = fixture.directory_->find("u1");
  fixture.directory_->record_sent(*unresponsive, {});
  auto delayed = fixture.directory_->find("u2");
  auto sent_at = fixture.directory_->record_sent(*delayed, {});
  fixture.clock_->advance(2000);
  fixture.directory_->record_response_started(*delayed, sent_at);
  fixture.directory_->record_finished(*delayed, sent_at, upstream_outcome::served);
  fixture.directory_->detect_stalled();
  CHECK(fixture.avoided() == 0);
  fixture.directory_->record_sent(*unresponsive, {});
  for (auto response = 0; response < 4; ++response) {
    fixture.clock_->advance(480);
    fixture.request("u0", upstream_outcome::served);
  }
  fixture.directory_->detect_stalled();
  CHECK(fixture.avoided() == 1);
}

TEST_CASE("each peer's failures count once until a success resets them") {
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

TEST_CASE("a failed probe of a peer extends the avoidance") {
  auto health = upstream_health{};
  CHECK_FALSE(health.record_failure(10000));
  CHECK(health.record_failure(10010));
  CHECK(health.avoid_until() == 10510);
  CHECK_FALSE(health.record_peer_failure("vm-1", 10100));  // Request sent before the avoidance.
  CHECK(health.avoid_until() == 10510);
  CHECK_FALSE(health.record_peer_failure("vm-1", 10400));
  CHECK(health.avoid_until() == 11400);
}

TEST_CASE("a success of a suspected upstream is reported to peers") {
  auto fixture = link_fixture{};
  fixture.request("u0", upstream_outcome::served);
  CHECK(fixture.reports_.empty());
  fixture.directory_->apply_peer_report("vm-2", {"u0", true});
  fixture.request("u0", upstream_outcome::served);
  REQUIRE(fixture.reports_.size() == 1);
  CHECK_FALSE(fixture.reports_[0].failed_);
}

}  // namespace birchlever

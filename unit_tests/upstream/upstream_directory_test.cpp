/// The choice of an upstream: prefix, load, evidence.
#include "birchlever/upstream/upstream_directory.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

auto entry_of(const std::string& id) -> upstream_entry {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.service_ = "chat";
  entry.data_hall_ = "hall-a";
  entry.slots_ = 4;
  return entry;
}

auto wish_for(std::vector<prompt_part> parts) -> upstream_criteria {
  auto wish = upstream_criteria{};
  wish.service_ = "chat";
  wish.parts_ = std::move(parts);
  for (const auto& part : wish.parts_) {
    wish.prompt_tokens_ += part.tokens_;
  }
  wish.max_tokens_ = 100;
  wish.cache_capacity_ = 10000;
  return wish;
}

/// Two engines and the program-aware policy.
struct directory_fixture {
  directory_fixture() {
    directory_.put(entry_of("u1"));
    directory_.put(entry_of("u2"));
  }

  auto chosen(const upstream_criteria& wish) -> std::string {
    auto choice = directory_.choose(*policy_, wish);
    return ok(choice) ? value(choice).chosen_->entry().id_ : std::string{};
  }

  upstream_directory directory_{upstream_directory_settings{"hall-a"}};
  std::unique_ptr<policy_interface> policy_ = value(make_policy(
      policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}, {"decode_rate", 120}}}));
};

}  // namespace

TEST_CASE("daemons that know nothing of each other send a program's turns to one upstream") {
  auto here = directory_fixture{};
  auto there = directory_fixture{};
  for (auto program = 0U; program < 16; ++program) {
    auto wish = wish_for({{1, 500}, {2, 600}});
    wish.affinity_key_ = "p" + std::to_string(program);
    wish.seed_ = program;
    auto first = here.chosen(wish);
    wish.seed_ = program + 1;
    CHECK(there.chosen(wish) == first);
  }
}

TEST_CASE("a program leaves its home upstream when that is much fuller than others") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({{1, 500}, {2, 600}});
  wish.affinity_key_ = "p1";
  auto home = fixture.chosen(wish);
  fixture.directory_.set_running_elsewhere(home, 40);
  CHECK(fixture.chosen(wish) != home);
}

TEST_CASE("a prompt goes where its leading parts are") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({{1, 2000}, {2, 500}});
  auto first = fixture.directory_.find("u2");
  auto began = fixture.directory_.record_sent(*first, wish);
  fixture.directory_.record_finished(*first, began, upstream_outcome::served);
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    REQUIRE(fixture.chosen(wish) == "u2");
  }
}

TEST_CASE("a full upstream is left for an idle one, prefix or not") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({{1, 500}});
  auto busy = fixture.directory_.find("u2");
  for (auto number = 0; number < 30; ++number) {
    fixture.directory_.record_sent(*busy, wish);
  }
  REQUIRE(fixture.chosen(wish) == "u1");
}

TEST_CASE("two failures in a row make an upstream avoided, one that is left alone is still used") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({});
  auto bad = fixture.directory_.find("u1");
  for (auto failures = 0; failures < 2; ++failures) {
    auto began = fixture.directory_.record_sent(*bad, wish);
    fixture.directory_.record_finished(*bad, began, upstream_outcome::failed);
  }
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    REQUIRE(fixture.chosen(wish) == "u2");
  }
  wish.excluded_ = {"u2"};
  REQUIRE(fixture.chosen(wish) == "u1");
  wish.excluded_ = {"u1", "u2"};
  REQUIRE(fixture.chosen(wish).empty());
}

TEST_CASE("an upstream at which this daemon has used its share of connections counts as full") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({});
  auto busy = fixture.directory_.find("u2");
  for (auto number = 0; number < 2; ++number) {
    fixture.directory_.record_sent(*busy, wish);
    fixture.directory_.set_running_elsewhere("u1", 3);
  }
  REQUIRE(fixture.chosen(wish) == "u2");
  wish.max_local_in_flight_ = 2;
  REQUIRE(fixture.chosen(wish) == "u1");
}

TEST_CASE("failures that peers tell count like own ones, and so does that it serves again") {
  auto fixture = directory_fixture{};
  auto told = std::vector<upstream_health_report>{};
  fixture.directory_.on_health_report([&](const upstream_health_report& news) { told.push_back(news); });
  auto wish = wish_for({});
  auto good = fixture.directory_.find("u2");
  auto began = fixture.directory_.record_sent(*good, wish);
  fixture.directory_.record_response_started(*good,
                                             began);  // Without it this daemon's own link could be the cause.
  fixture.directory_.record_finished(*good, began, upstream_outcome::served);
  auto bad = fixture.directory_.find("u1");
  began = fixture.directory_.record_sent(*bad, wish);
  fixture.directory_.record_finished(*bad, began, upstream_outcome::failed);
  REQUIRE(told.size() == 1);
  REQUIRE(told[0].failed_);
  fixture.directory_.apply_peer_report("vm-2", {"u1", true});
  fixture.directory_.apply_peer_report("vm-2", {"unknown", true});
  REQUIRE(told.size() == 1);  // What is heard is not told on.
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    REQUIRE(fixture.chosen(wish) == "u2");
  }
  fixture.directory_.apply_peer_report("vm-2", {"u1", false});
  auto used = std::set<std::string>{};
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    used.insert(fixture.chosen(wish));
  }
  REQUIRE(used.count("u1") == 1);
}

TEST_CASE("when most of a service is avoided, all of it is used, so that a few do not get the load of all") {
  auto fixture = directory_fixture{};
  for (const auto* id : {"u3", "u4", "u5"}) {
    fixture.directory_.put(entry_of(id));
  }
  auto wish = wish_for({});
  auto choices = [&] {
    auto used = std::set<std::string>{};
    for (auto seed = 0U; seed < 40; ++seed) {
      wish.seed_ = seed;
      used.insert(fixture.chosen(wish));
    }
    return used.size();
  };
  for (const auto* id : {"u1", "u2", "u3"}) {
    for (const auto* peer : {"vm-2", "vm-3", "vm-4"}) {
      fixture.directory_.apply_peer_report(peer, {id, true});
    }
  }
  REQUIRE(choices() == 2);
  for (const auto* peer : {"vm-2", "vm-3", "vm-4"}) {
    fixture.directory_.apply_peer_report(peer, {"u4", true});
  }
  REQUIRE(choices() == 5);
}

TEST_CASE("an avoidance grows with failures that follow it, not with those sent before it") {
  auto health = upstream_health{};
  CHECK_FALSE(health.record_failure(10000));
  CHECK(health.record_failure(10010));
  CHECK(health.avoid_until() == 10510);
  CHECK_FALSE(health.record_failure(10020));  // Was under way.
  CHECK(health.avoid_until() == 10510);
  CHECK(health.record_failure(10600));
  CHECK(health.avoid_until() == 11600);
  CHECK(health.record_success());
  CHECK_FALSE(health.avoided(10700));
}

TEST_CASE("failures that lie far apart do not add up") {
  auto health = upstream_health{};
  for (auto now = milliseconds{10000}; now < 60000; now += 2000) {
    CHECK_FALSE(health.record_failure(now));
  }
}

TEST_CASE("an upstream hangs when requests wait and nothing was answered for long") {
  auto health = upstream_health{};
  health.record_sent(10000);
  health.record_sent(10900);
  CHECK_FALSE(health.detect_stall(11400));
  health.record_response(10900, 11450);
  CHECK_FALSE(health.detect_stall(11600));  // It answers others.
  CHECK(health.detect_stall(13000));
  CHECK(health.avoided(13100));
  CHECK_FALSE(health.detect_stall(13100));
  health.remove_pending(10000);
  CHECK_FALSE(health.detect_stall(20000));
}

TEST_CASE("the view of a cache holds leading parts only and forgets the oldest") {
  auto cache = prompt_cache{};
  cache.set_capacity(1000);
  cache.record_use({{1, 400}, {2, 300}});
  REQUIRE(cache.cached_prefix_tokens({{1, 400}, {2, 300}, {3, 10}}) == 700);
  REQUIRE(cache.cached_prefix_tokens({{3, 10}, {1, 400}}) == 0);
  cache.record_use({{4, 600}});
  REQUIRE(cache.cached_prefix_tokens({{4, 600}}) == 600);
  REQUIRE(cache.cached_prefix_tokens({{1, 400}}) == 0);
  REQUIRE(cache.tokens() <= 1000);
}

}  // namespace birchlever

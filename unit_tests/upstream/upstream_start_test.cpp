/// Upstreams that start again, halls that operators close, regions, and upstreams that have just started.
#include <catch2/catch.hpp>
#include <chrono>

#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

auto entry_in(const std::string& id, const std::string& hall, std::int64_t born = 0) -> upstream_entry {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.service_ = "chat";
  entry.data_hall_ = hall;
  entry.slots_ = 6;
  entry.born_ = born;
  return entry;
}

auto plain_wish(std::uint64_t seed = 0) -> upstream_criteria {
  auto wish = upstream_criteria{};
  wish.service_ = "chat";
  wish.seed_ = seed;
  return wish;
}

struct start_fixture {
  explicit start_fixture(std::uint64_t seed = 1, const std::string& regions = "")
      : directory_{settings(seed, regions, clock_)} {
    clock_->advance(100'000);
  }

  static auto settings(std::uint64_t seed, const std::string& regions,
                       const std::shared_ptr<manual_clock>& clock) -> upstream_directory_settings {
    auto made = upstream_directory_settings{};
    made.data_hall_ = "a";
    made.jitter_seed_ = seed;
    made.regions_ = value(hall_regions::parse(regions));
    made.clock_ = clock;
    return made;
  }

  auto chosen(const upstream_criteria& wish) -> std::string {
    auto choice = directory_.choose(*policy_, wish);
    return ok(choice) ? value(choice).chosen_->entry().id_ : std::string{};
  }

  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  upstream_directory directory_;
  std::unique_ptr<policy_interface> policy_ =
      value(make_policy(policy_settings{policy_kind::least_loaded, {{"connection", 1.5}}}));
};

}  // namespace

TEST_CASE(
    "another start under the same id is another upstream, and what waits at the former is told at once") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a", 1000));
  auto former = fixture.directory_.find("u1");
  auto wish = plain_wish();
  wish.parts_ = {{1, 500}};
  wish.cache_capacity_ = 10000;
  auto began = fixture.directory_.record_sent(*former, wish);
  auto told = 0;
  former->on_replaced([&told] { ++told; });
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto latter = fixture.directory_.find("u1");
  REQUIRE(told == 1);
  REQUIRE(latter != former);
  CHECK_FALSE(former->accepts_requests());
  CHECK(latter->running() == 0);
  for (auto failures = 0; failures < 3; ++failures) {
    fixture.directory_.apply_peer_report("vm-2", {"u1", true, 1000});
    fixture.directory_.apply_peer_report("vm-3", {"u1", true, 1000});
  }
  fixture.directory_.record_finished(*former, began, upstream_outcome::failed);
  CHECK(latter->health().weight() == 0);
  fixture.directory_.put(entry_in("u1", "a", 1000));  // Told late.
  CHECK(fixture.directory_.find("u1") == latter);
}

TEST_CASE("failures at a former start are no news for peers, those at the latter are") {
  auto fixture = start_fixture{};
  auto told = std::vector<upstream_health_report>{};
  fixture.directory_.on_health_report([&told](const upstream_health_report& news) { told.push_back(news); });
  fixture.directory_.put(entry_in("u1", "a", 1000));
  fixture.directory_.put(entry_in("u2", "a", 1000));
  auto answering = fixture.directory_.find("u2");
  auto former = fixture.directory_.find("u1");
  auto began = fixture.directory_.record_sent(*former, plain_wish());
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto answered = fixture.directory_.record_sent(*answering, plain_wish());
  fixture.directory_.record_response_started(*answering, answered);
  fixture.directory_.record_finished(*answering, answered, upstream_outcome::served);
  fixture.directory_.record_finished(*former, began, upstream_outcome::failed);
  CHECK(told.empty());
  auto latter = fixture.directory_.find("u1");
  began = fixture.directory_.record_sent(*latter, plain_wish());
  fixture.directory_.record_finished(*latter, began, upstream_outcome::failed);
  REQUIRE(told.size() == 1);
  CHECK(told[0].born_ == 2000);
}

TEST_CASE("a session goes on at the start that ran it, not at another one under the same id") {
  auto fixture = start_fixture{};
  fixture.policy_ =
      value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  fixture.directory_.put(entry_in("u1", "a", 1000));
  fixture.directory_.put(entry_in("u2", "a", 1000));
  auto wish = plain_wish();
  wish.parts_ = {{1, 3000}, {2, 100}};
  wish.prompt_tokens_ = 3100;
  wish.cache_capacity_ = 10000;
  wish.last_upstream_ = incarnation_of(fixture.directory_.find("u1")->entry());
  CHECK(id_of_incarnation(wish.last_upstream_) == "u1");
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    CHECK(fixture.chosen(wish) == "u1");
  }
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto used = std::set<std::string>{};
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    used.insert(fixture.chosen(wish));
  }
  CHECK(used.size() == 2);
}

TEST_CASE("a closed hall gets nothing, also what waited for a connection there, until it is opened") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a"));
  fixture.directory_.put(entry_in("u2", "b"));
  fixture.directory_.put(entry_in("u3", "c"));
  auto waiting_for = fixture.directory_.find("u1");
  fixture.directory_.close_halls({"a", "b"});
  CHECK_FALSE(waiting_for->accepts_requests());
  fixture.directory_.put(entry_in("u4", "b"));  // Starts meanwhile.
  for (auto seed = 0U; seed < 8; ++seed) {
    CHECK(fixture.chosen(plain_wish(seed)) == "u3");
  }
  fixture.directory_.close_halls({"b", "c"});
  CHECK(fixture.chosen(plain_wish()) == "u1");
  fixture.directory_.close_halls({"a", "b", "c"});
  CHECK(fixture.chosen(plain_wish()).empty());
}

TEST_CASE("bounds of a route and of a client account both hold, and an unknown hall lies outside of all") {
  auto fixture = start_fixture{1, "a=north,b=south"};
  fixture.directory_.put(entry_in("u1", "a"));
  fixture.directory_.put(entry_in("u2", "b"));
  fixture.directory_.put(entry_in("u3", "nowhere"));
  auto wish = plain_wish();
  wish.regions_.add({});
  wish.regions_.add({"south", "north"});
  wish.regions_.add({"south", "west"});
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    CHECK(fixture.chosen(wish) == "u2");
  }
  wish.regions_.add({"north"});
  CHECK(fixture.chosen(wish).empty());
  CHECK_FALSE(ok(hall_regions::parse("a=north,b")));
  CHECK_FALSE(ok(hall_regions::parse("a=north,a=south")));
}

/// Load pattern: a hall comes back cold under full load. Every daemon has more requests than it could send.
/// The bound is the platform's: in any second half as many again as the rate, and five.
TEST_CASE("all daemons together keep to what a cold upstream bears, whenever they learned of it") {
  constexpr auto daemons = 58;
  constexpr auto per_s = 32.0;
  constexpr auto step = milliseconds{10};
  auto fleet = std::vector<std::unique_ptr<start_fixture>>{};
  for (auto number = 0; number < daemons; ++number) {
    fleet.push_back(std::make_unique<start_fixture>(number + 1U));
    auto entry = entry_in("u1", "a");
    entry.cold_left_ = 60'000;
    fleet.back()->directory_.put(entry);
  }
  auto wish = plain_wish();
  wish.cold_start_ = {per_s, daemons, 3000};
  auto sent = std::vector<milliseconds>{};
  for (auto now = milliseconds{0}; now < 30'000; now += step) {
    for (auto& daemon : fleet) {
      daemon->clock_->advance(step);
      if (!daemon->chosen(wish).empty()) {
        auto one = daemon->directory_.find("u1");
        auto began = daemon->directory_.record_sent(*one, wish);
        daemon->directory_.record_finished(*one, began, upstream_outcome::served);
        sent.push_back(now);
      }
    }
  }
  auto most = std::size_t{0};
  for (auto first = std::size_t{0}, last = std::size_t{0}; last < sent.size(); ++last) {
    while (sent[last] - sent[first] > 1000) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  CHECK(static_cast<double>(most) <= per_s * 1.5 + 5);
  CHECK(static_cast<double>(sent.size()) >= 30 * per_s / 4);  // And it is not left without work.
}

TEST_CASE("a hall that was just opened may have cold upstreams, one whose start is over has none") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a"));
  auto one = fixture.directory_.find("u1");
  auto limit = cold_start_limit{32, 58, 3000};
  CHECK_FALSE(one->cold(limit, fixture.clock_->now()));
  fixture.directory_.close_halls({"a"});
  fixture.directory_.close_halls({});
  CHECK(one->cold(limit, fixture.clock_->now()));
  CHECK_FALSE(one->cold(cold_start_limit{}, fixture.clock_->now()));  // Nothing bounds it.
  fixture.clock_->advance(3001);
  CHECK_FALSE(one->cold(limit, fixture.clock_->now()));
}

TEST_CASE("a choice among thousands weighs some dozen, with the last and the home upstream among them") {
  constexpr auto upstreams = 10'000;
  auto fixture = start_fixture{};
  fixture.policy_ =
      value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  for (auto number = 0; number < upstreams; ++number) {
    fixture.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"));
  }
  auto wish = plain_wish(77);
  wish.parts_ = {{1, 3000}, {2, 100}};
  wish.prompt_tokens_ = 3100;
  wish.cache_capacity_ = 10000;
  auto choice = fixture.directory_.choose(*fixture.policy_, wish);
  REQUIRE(ok(choice));
  CHECK(value(choice).candidates_ <= 64);
  wish.last_upstream_ = "u4321";
  CHECK(fixture.chosen(wish) == "u4321");
  wish.last_upstream_.clear();
  wish.affinity_key_ = "p1";
  auto home = fixture.chosen(wish);
  auto other = start_fixture{2};
  other.policy_ = value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  for (auto number = upstreams - 1; number >= 0; --number) {
    other.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"));
  }
  wish.seed_ = 78;
  CHECK(other.chosen(wish) == home);
  auto excluded = plain_wish(5);
  for (auto number = 0; number < upstreams - 1; ++number) {
    excluded.excluded_.insert("u" + std::to_string(number));
  }
  CHECK(fixture.chosen(excluded) == "u9999");  // The only one left is found though no sample holds it.
}

TEST_CASE("a choice costs about the same before a hundred upstreams and before twenty thousand") {
  constexpr auto choices = 2000U;
  auto cost_of = [](int upstreams) {
    auto fixture = start_fixture{};
    fixture.policy_ =
        value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
    for (auto number = 0; number < upstreams; ++number) {
      fixture.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"), false);
    }
    auto wish = plain_wish();
    wish.parts_ = {{1, 3000}, {2, 100}};
    wish.prompt_tokens_ = 3100;
    wish.cache_capacity_ = 10000;
    auto began = std::chrono::steady_clock::now();
    for (auto seed = 0U; seed < choices; ++seed) {
      wish.seed_ = seed * 2'654'435'761U;
      REQUIRE(ok(fixture.directory_.choose(*fixture.policy_, wish)));
    }
    return std::chrono::steady_clock::now() - began;
  };
  // Within one run: a walk over all would cost a hundred times as much. Samples miss the processor's caches.
  CHECK(cost_of(20'000) <= 3 * cost_of(150));
}

TEST_CASE("among thousands the busiest upstream gets little more than the mean") {
  auto fixture = start_fixture{};
  constexpr auto upstreams = 1000;
  constexpr auto requests = upstreams * 3;  // Half of the places.
  for (auto number = 0; number < upstreams; ++number) {
    fixture.directory_.put(entry_in("u" + std::to_string(number), "a"), false);
  }
  auto most = 0;
  for (auto request = 0U; request < requests; ++request) {
    auto wish = plain_wish(request * 0x9e3779b97f4a7c15U);
    auto choice = fixture.directory_.choose(*fixture.policy_, wish);
    REQUIRE(ok(choice));
    fixture.directory_.record_sent(*value(choice).chosen_, wish);
    most = std::max(most, value(choice).chosen_->running());
  }
  CHECK(most <= 1.34 * requests / upstreams);  // Whole requests: four where three are the mean.
}

}  // namespace birchlever

/// Tests of upstream restarts, closed data halls, region constraints, cold starts and sampling.
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

auto make_criteria(std::uint64_t seed = 0) -> upstream_criteria {
  auto criteria = upstream_criteria{};
  criteria.service_ = "chat";
  criteria.seed_ = seed;
  return criteria;
}

struct start_fixture {
  explicit start_fixture(std::uint64_t seed = 1, const std::string& regions = "")
      : directory_{settings(seed, regions, clock_)} {
    clock_->advance(100'000);
  }

  static auto settings(std::uint64_t seed, const std::string& regions,
                       const std::shared_ptr<manual_clock>& clock) -> upstream_directory_settings {
    auto configured = upstream_directory_settings{};
    configured.data_hall_ = "a";
    configured.jitter_seed_ = seed;
    configured.regions_ = value(hall_regions::parse(regions));
    configured.clock_ = clock;
    return configured;
  }

  auto chosen(const upstream_criteria& criteria) -> std::string {
    auto choice = directory_.choose(*policy_, criteria);
    return ok(choice) ? value(choice).chosen_->entry().id_ : std::string{};
  }

  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  upstream_directory directory_;
  std::unique_ptr<policy_interface> policy_ =
      value(make_policy(policy_settings{policy_kind::least_loaded, {{"connection", 1.5}}}));
};

}  // namespace

TEST_CASE("a new incarnation replaces an upstream, notifies its pending requests and inherits no state") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a", 1000));
  auto old_incarnation = fixture.directory_.find("u1");
  auto criteria = make_criteria();
  criteria.parts_ = {{1, 500}};
  criteria.cache_capacity_ = 10000;
  auto sent_at = fixture.directory_.record_sent(*old_incarnation, criteria);
  auto notifications = 0;
  old_incarnation->on_replaced([&notifications] { ++notifications; });
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto new_incarnation = fixture.directory_.find("u1");
  REQUIRE(notifications == 1);
  REQUIRE(new_incarnation != old_incarnation);
  CHECK_FALSE(old_incarnation->accepts_requests());
  CHECK(new_incarnation->running() == 0);
  for (auto failures = 0; failures < 3; ++failures) {
    fixture.directory_.apply_peer_report("vm-2", {"u1", true, 1000});
    fixture.directory_.apply_peer_report("vm-3", {"u1", true, 1000});
  }
  fixture.directory_.record_finished(*old_incarnation, sent_at, upstream_outcome::failed);
  CHECK(new_incarnation->health().weight() == 0);
  fixture.directory_.put(entry_in("u1", "a", 1000));  // Outdated entry.
  CHECK(fixture.directory_.find("u1") == new_incarnation);
}

TEST_CASE("only failures of the current incarnation are reported to peers") {
  auto fixture = start_fixture{};
  auto reports = std::vector<upstream_health_report>{};
  fixture.directory_.on_health_report(
      [&reports](const upstream_health_report& report) { reports.push_back(report); });
  fixture.directory_.put(entry_in("u1", "a", 1000));
  fixture.directory_.put(entry_in("u2", "a", 1000));
  auto answering = fixture.directory_.find("u2");
  auto old_incarnation = fixture.directory_.find("u1");
  auto sent_at = fixture.directory_.record_sent(*old_incarnation, make_criteria());
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto response_sent_at = fixture.directory_.record_sent(*answering, make_criteria());
  fixture.directory_.record_response_started(*answering, response_sent_at);
  fixture.directory_.record_finished(*answering, response_sent_at, upstream_outcome::served);
  fixture.directory_.record_finished(*old_incarnation, sent_at, upstream_outcome::failed);
  CHECK(reports.empty());
  auto new_incarnation = fixture.directory_.find("u1");
  sent_at = fixture.directory_.record_sent(*new_incarnation, make_criteria());
  fixture.directory_.record_finished(*new_incarnation, sent_at, upstream_outcome::failed);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].born_ == 2000);
}

TEST_CASE("a session continues at the incarnation that ran it, not at a new one with the same id") {
  auto fixture = start_fixture{};
  fixture.policy_ =
      value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  fixture.directory_.put(entry_in("u1", "a", 1000));
  fixture.directory_.put(entry_in("u2", "a", 1000));
  auto criteria = make_criteria();
  criteria.parts_ = {{1, 3000}, {2, 100}};
  criteria.prompt_tokens_ = 3100;
  criteria.cache_capacity_ = 10000;
  criteria.last_upstream_ = incarnation_of(fixture.directory_.find("u1")->entry());
  CHECK(id_of_incarnation(criteria.last_upstream_) == "u1");
  for (auto seed = 0U; seed < 8; ++seed) {
    criteria.seed_ = seed;
    CHECK(fixture.chosen(criteria) == "u1");
  }
  fixture.directory_.put(entry_in("u1", "a", 2000));
  auto used = std::set<std::string>{};
  for (auto seed = 0U; seed < 8; ++seed) {
    criteria.seed_ = seed;
    used.insert(fixture.chosen(criteria));
  }
  CHECK(used.size() == 2);
}

TEST_CASE("a closed data hall gets no requests until it is opened") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a"));
  fixture.directory_.put(entry_in("u2", "b"));
  fixture.directory_.put(entry_in("u3", "c"));
  auto waiting_for = fixture.directory_.find("u1");
  fixture.directory_.close_halls({"a", "b"});
  CHECK_FALSE(waiting_for->accepts_requests());
  fixture.directory_.put(entry_in("u4", "b"));  // Added while its hall is closed.
  for (auto seed = 0U; seed < 8; ++seed) {
    CHECK(fixture.chosen(make_criteria(seed)) == "u3");
  }
  fixture.directory_.close_halls({"b", "c"});
  CHECK(fixture.chosen(make_criteria()) == "u1");
  fixture.directory_.close_halls({"a", "b", "c"});
  CHECK(fixture.chosen(make_criteria()).empty());
}

TEST_CASE("region constraints intersect, and halls without a region violate every constraint") {
  auto fixture = start_fixture{1, "a=north,b=south"};
  fixture.directory_.put(entry_in("u1", "a"));
  fixture.directory_.put(entry_in("u2", "b"));
  fixture.directory_.put(entry_in("u3", "nowhere"));
  auto criteria = make_criteria();
  criteria.regions_.add({});
  criteria.regions_.add({"south", "north"});
  criteria.regions_.add({"south", "west"});
  for (auto seed = 0U; seed < 8; ++seed) {
    criteria.seed_ = seed;
    CHECK(fixture.chosen(criteria) == "u2");
  }
  criteria.regions_.add({"north"});
  CHECK(fixture.chosen(criteria).empty());
  CHECK_FALSE(ok(hall_regions::parse("a=north,b")));
  CHECK_FALSE(ok(hall_regions::parse("a=north,a=south")));
}

/// Every daemon always has requests to send. The platform allows 1.5 times the rate plus five requests in any
/// second.
TEST_CASE("the rate limit of a cold upstream holds for the sum of all daemons") {
  constexpr auto daemons = 58;
  constexpr auto limit_per_s = 32.0;
  constexpr auto step = milliseconds{10};
  auto fleet = std::vector<std::unique_ptr<start_fixture>>{};
  for (auto number = 0; number < daemons; ++number) {
    fleet.push_back(std::make_unique<start_fixture>(number + 1U));
    auto entry = entry_in("u1", "a");
    entry.cold_left_ = 60'000;
    fleet.back()->directory_.put(entry);
  }
  auto criteria = make_criteria();
  criteria.cold_start_ = {limit_per_s, daemons, 3000};
  auto sent = std::vector<milliseconds>{};
  for (auto now = milliseconds{0}; now < 30'000; now += step) {
    for (auto& daemon : fleet) {
      daemon->clock_->advance(step);
      if (!daemon->chosen(criteria).empty()) {
        auto target = daemon->directory_.find("u1");
        auto sent_at = daemon->directory_.record_sent(*target, criteria);
        daemon->directory_.record_finished(*target, sent_at, upstream_outcome::served);
        sent.push_back(now);
      }
    }
  }
  auto max_in_second = std::size_t{0};
  for (auto first = std::size_t{0}, last = std::size_t{0}; last < sent.size(); ++last) {
    while (sent[last] - sent[first] > 1000) {
      ++first;
    }
    max_in_second = std::max(max_in_second, last - first + 1);
  }
  CHECK(static_cast<double>(max_in_second) <= limit_per_s * 1.5 + 5);
  CHECK(static_cast<double>(sent.size()) >= 30 * limit_per_s / 4);  // The upstream is not left idle.
}

TEST_CASE("upstreams of a reopened data hall are cold until the cold start time has passed") {
  auto fixture = start_fixture{};
  fixture.directory_.put(entry_in("u1", "a"));
  auto target = fixture.directory_.find("u1");
  auto limit = cold_start_limit{32, 58, 3000};
  CHECK_FALSE(target->cold(limit, fixture.clock_->now()));
  fixture.directory_.close_halls({"a"});
  fixture.directory_.close_halls({});
  CHECK(target->cold(limit, fixture.clock_->now()));
  CHECK_FALSE(target->cold(cold_start_limit{}, fixture.clock_->now()));  // No limit.
  fixture.clock_->advance(3001);
  CHECK_FALSE(target->cold(limit, fixture.clock_->now()));
}

TEST_CASE(
    "a selection from a large pool considers a sample that includes the previous and the affinity upstream") {
  constexpr auto upstreams = 10'000;
  auto fixture = start_fixture{};
  fixture.policy_ =
      value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  for (auto number = 0; number < upstreams; ++number) {
    fixture.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"));
  }
  auto criteria = make_criteria(77);
  criteria.parts_ = {{1, 3000}, {2, 100}};
  criteria.prompt_tokens_ = 3100;
  criteria.cache_capacity_ = 10000;
  auto choice = fixture.directory_.choose(*fixture.policy_, criteria);
  REQUIRE(ok(choice));
  CHECK(value(choice).candidates_ <= 64);
  criteria.last_upstream_ = "u4321";
  CHECK(fixture.chosen(criteria) == "u4321");
  criteria.last_upstream_.clear();
  criteria.affinity_key_ = "p1";
  auto affinity = fixture.chosen(criteria);
  auto other = start_fixture{2};
  other.policy_ = value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
  for (auto number = upstreams - 1; number >= 0; --number) {
    other.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"));
  }
  criteria.seed_ = 78;
  CHECK(other.chosen(criteria) == affinity);
  auto excluded = make_criteria(5);
  for (auto number = 0; number < upstreams - 1; ++number) {
    excluded.excluded_.insert("u" + std::to_string(number));
  }
  CHECK(fixture.chosen(excluded) == "u9999");  // Found although outside the sample.
}

TEST_CASE("the cost of a selection does not grow with the number of upstreams") {
  constexpr auto choices = 2000U;
  auto cost_of = [](int upstreams) {
    auto fixture = start_fixture{};
    fixture.policy_ =
        value(make_policy(policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}}}));
    for (auto number = 0; number < upstreams; ++number) {
      fixture.directory_.put(entry_in("u" + std::to_string(number), number % 5 == 0 ? "a" : "b"), false);
    }
    auto criteria = make_criteria();
    criteria.parts_ = {{1, 3000}, {2, 100}};
    criteria.prompt_tokens_ = 3100;
    criteria.cache_capacity_ = 10000;
    auto began = std::chrono::steady_clock::now();
    for (auto seed = 0U; seed < choices; ++seed) {
      criteria.seed_ = seed * 2'654'435'761U;
      REQUIRE(ok(fixture.directory_.choose(*fixture.policy_, criteria)));
    }
    return std::chrono::steady_clock::now() - began;
  };
  // Guards against scanning the whole pool; allows for cache misses in large pools.
  CHECK(cost_of(20'000) <= 3 * cost_of(150));
}

TEST_CASE("sampling distributes requests evenly over a large pool") {
  auto fixture = start_fixture{};
  constexpr auto upstreams = 1000;
  constexpr auto requests = upstreams * 3;  // Half of the slots.
  for (auto number = 0; number < upstreams; ++number) {
    fixture.directory_.put(entry_in("u" + std::to_string(number), "a"), false);
  }
  auto max_running = 0;
  for (auto request = 0U; request < requests; ++request) {
    auto criteria = make_criteria(request * 0x9e3779b97f4a7c15U);
    auto choice = fixture.directory_.choose(*fixture.policy_, criteria);
    REQUIRE(ok(choice));
    fixture.directory_.record_sent(*value(choice).chosen_, criteria);
    max_running = std::max(max_running, value(choice).chosen_->running());
  }
  CHECK(max_running <= 1.34 * requests / upstreams);  // Four requests with a mean of three.
}

}  // namespace birchlever

/// The pieces that decide about allotments, each a pure function of claims, lists and times.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "birchlever/accounts/allotment_bucket.h"
#include "birchlever/accounts/equal_shares.h"
#include "birchlever/accounts/grantor_order.h"
#include "birchlever/accounts/program_size_estimate.h"
#include "birchlever/accounts/reachable_share.h"

namespace birchlever {
namespace {

constexpr auto limit = account_allotment{10, 10};
constexpr auto begins = true;
constexpr auto later = false;

auto claim(bool begins_program, double requests = 10, milliseconds duration = 2000) -> allotment_claim {
  return {"a", limit, begins_program, requests, duration};
}

}  // namespace

TEST_CASE("a bucket never grants more than the rate over a span and the burst") {
  auto bucket = allotment_bucket{};
  auto granted_at = std::vector<milliseconds>{};
  for (auto now = milliseconds{0}; now < 20000; now += 7) {
    auto verdict = bucket.claim(claim(later), 1, now);
    if (verdict.granted_) {
      granted_at.push_back(now + verdict.wait_);
    }
  }
  for (auto from = std::size_t{0}; from < granted_at.size(); ++from) {
    auto count = std::count_if(granted_at.begin(), granted_at.end(), [&](milliseconds at) {
      return at >= granted_at[from] && at < granted_at[from] + 5000;
    });
    REQUIRE(static_cast<double>(count) <= limit.max_requests_in(5) + 1);
  }
  CHECK(granted_at.size() > 190);  // And it grants what there is.
}

TEST_CASE("a new bucket begins nearly empty: what another daemon granted is not known") {
  auto bucket = allotment_bucket{};
  auto at_once = 0;
  while (bucket.claim(claim(later), 1, 1000).wait_ == 0) {
    ++at_once;
  }
  CHECK(at_once <= 3);
}

TEST_CASE("a request of a begun program waits for its place, and is refused when that would last too long") {
  auto bucket = allotment_bucket{};
  auto waits = std::vector<milliseconds>{};
  auto verdict = bucket.claim(claim(later), 1, 0);
  while (verdict.granted_) {
    waits.push_back(verdict.wait_);
    verdict = bucket.claim(claim(later), 1, 0);
  }
  CHECK(std::is_sorted(waits.begin(), waits.end()));
  CHECK(waits.back() > 800);
  CHECK(waits.back() <= 1000);
  CHECK(verdict.retry_after_ >= 250);
}

TEST_CASE("no program begins that the allotment can't carry through, while begun ones go on") {
  auto bucket = allotment_bucket{};
  bucket.claim(claim(later), 1, 0);
  auto now = milliseconds{2000};  // Full by now.
  auto started = 0;
  while (bucket.claim(claim(begins), 1, now).granted_) {
    ++started;
  }
  CHECK(started >= 2);
  CHECK(started <= 4);  // Ten at once and ten in the second in which their requests come at the mean.
  CHECK(bucket.claim(claim(later), 1, now).granted_);
  CHECK(bucket.claim(claim(begins), 1, now + 5000).granted_);  // The others have ended.
}

TEST_CASE("begun programs may overdraw once, and what they overdrew is taken off what comes") {
  auto settings = allotment_bucket_settings{};
  settings.overdraft_ = 5;
  auto bucket = allotment_bucket{settings};
  auto strict = allotment_bucket{};
  auto at_once = [](allotment_bucket& one) {
    auto count = 0;
    while (one.claim(claim(later), 1, 0).wait_ == 0) {
      ++count;
    }
    return count;
  };
  CHECK(at_once(bucket) == at_once(strict) + 5);
  CHECK(!bucket.claim(claim(begins), 1, 300).granted_);
}

TEST_CASE("a share of an allotment grants that share") {
  auto bucket = allotment_bucket{};
  auto granted = 0;
  for (auto now = milliseconds{0}; now < 20000; now += 10) {
    granted += bucket.claim(claim(later), 0.5, now).granted_ ? 1 : 0;
  }
  CHECK(granted >= 95);
  CHECK(granted <= 108);
}

TEST_CASE("what a stand-in granted is taken off") {
  auto bucket = allotment_bucket{};
  bucket.claim(claim(later), 1, 0);
  bucket.debit(8);
  CHECK(bucket.claim(claim(later), 1, 10).wait_ >= 700);  // 1.5 were left: the next is 7.4 requests away.
  bucket.debit(8);
  CHECK(!bucket.claim(claim(later), 1, 10).granted_);
}

TEST_CASE("equal shares add up to the allotment, and keep a part for begun programs") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(100000);
  auto shares = equal_shares{{}, [] { return std::int64_t{6}; }, clock};
  auto granted = 0;
  while (shares.decide(claim(begins)).granted_) {
    ++granted;
  }
  CHECK(granted == 5);
  while (shares.decide(claim(later)).granted_) {
    ++granted;
  }
  CHECK(granted == 10);  // 60 in five seconds, over six daemons.
  CHECK(shares.decide(claim(later)).retry_after_ == 5000);
  clock->advance(5000);
  CHECK(shares.decide(claim(begins)).granted_);
}

TEST_CASE("all daemons compute one order, and pass over those that are silent for a while") {
  auto order_of = [](const std::string& vm, std::vector<std::string> others) {
    auto order = grantor_order{grantor_order_settings{vm}};
    order.set_members(std::move(others));
    return order;
  };
  auto one = order_of("vm-1", {"vm-2", "vm-3"});
  auto two = order_of("vm-2", {"vm-1", "vm-3"});
  auto best = one.candidates("a", 0);
  CHECK(best == two.candidates("a", 0));
  CHECK(best.front() == one.primary("a"));
  CHECK(one.size() == 3);
  auto third = order_of("vm-0", {"vm-1", "vm-2", "vm-3"});
  auto asked = third.candidates("a", 0).front();
  if (asked != "vm-0") {
    third.record_unresponsive(asked, 0);
    CHECK(third.candidates("a", 100).front() != asked);
    CHECK(third.candidates("a", 500).front() == asked);
    third.record_unresponsive(asked, 500);
    CHECK(third.candidates("a", 1400).front() != asked);  // Twice as long.
    third.record_seen(asked);
    CHECK(third.candidates("a", 1400).front() == asked);
    CHECK(third.primary("a") == asked);
  }
}

TEST_CASE("accounts are spread evenly over daemons") {
  auto order = grantor_order{grantor_order_settings{"vm-0"}};
  order.set_members({"vm-1", "vm-2", "vm-3"});
  auto granted_by = std::map<std::string, int>{};
  for (auto number = 0; number < 1200; ++number) {
    ++granted_by[order.primary("account-" + std::to_string(number))];
  }
  for (const auto& [vm, count] : granted_by) {
    CHECK(count > 230);
    CHECK(count < 370);
  }
}

TEST_CASE("a side of a cut may grant the part of the allotment that its daemons stand for") {
  CHECK(reachable_share({66, 66, 1200, 5000, 200, 16}) == 1);
  CHECK(reachable_share({66, 52, 1200, 5000, 200, 16}) == 1);  // By chance some are not heard for a while.
  auto larger = reachable_share({66, 33, 1200, 5000, 200, 16});
  auto smaller = reachable_share({66, 17, 1200, 5000, 200, 16});
  CHECK(larger < 0.75);
  CHECK(larger + smaller < 1.1);
  CHECK(reachable_share({66, 0, 1200, 5000, 200, 16}) == Approx(1.0 / 67));
  CHECK(reachable_share({66, 0, 1200, 300, 200, 16}) == 1);  // It has only begun to listen.
  CHECK(reachable_share({0, 0, 1200, 5000, 200, 16}) == 1);
}

TEST_CASE("the mean size of programs follows what passes, and is no less than one request") {
  auto sizes = program_size_estimate{};
  auto now = milliseconds{1};
  for (auto program = 0; program < 400; ++program) {
    for (auto request = 0; request < 20; ++request) {
      now += 50;
      sizes.record(request == 0, now);
    }
  }
  CHECK(sizes.mean_requests() > 18);
  CHECK(sizes.mean_requests() < 21);
  for (auto program = 0; program < 40000; ++program) {
    now += 50;
    sizes.record(true, now);
  }
  CHECK(sizes.mean_requests() == Approx(1).margin(0.05));
}

}  // namespace birchlever

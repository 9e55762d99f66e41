/// Tests of the components that enforce allotments.
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
constexpr auto first_request = true;
constexpr auto later_request = false;

auto claim(bool starts_program, double requests = 10, milliseconds duration = 2000) -> allotment_claim {
  return {"a", limit, starts_program, requests, duration};
}

}  // namespace

TEST_CASE("a bucket never grants more than the rate over a period plus the burst") {
  auto bucket = allotment_bucket{};
  auto granted_at = std::vector<milliseconds>{};
  for (auto now = milliseconds{0}; now < 20000; now += 7) {
    auto decision = bucket.claim(claim(later_request), 1, now);
    if (decision.granted_) {
      granted_at.push_back(now + decision.wait_);
    }
  }
  for (auto from = std::size_t{0}; from < granted_at.size(); ++from) {
    auto count = std::count_if(granted_at.begin(), granted_at.end(), [&](milliseconds at) {
      return at >= granted_at[from] && at < granted_at[from] + 5000;
    });
    REQUIRE(static_cast<double>(count) <= limit.max_requests_in(5) + 1);
  }
  CHECK(granted_at.size() > 190);  // The allotment is used up.
}

TEST_CASE("a new bucket starts nearly empty") {
  auto bucket = allotment_bucket{};
  auto at_once = 0;
  while (bucket.claim(claim(later_request), 1, 1000).wait_ == 0) {
    ++at_once;
  }
  CHECK(at_once <= 3);
}

TEST_CASE("requests of started programs are delayed up to a limit and then refused") {
  auto bucket = allotment_bucket{};
  auto waits = std::vector<milliseconds>{};
  auto decision = bucket.claim(claim(later_request), 1, 0);
  while (decision.granted_) {
    waits.push_back(decision.wait_);
    decision = bucket.claim(claim(later_request), 1, 0);
  }
  CHECK(std::is_sorted(waits.begin(), waits.end()));
  CHECK(waits.back() > 800);
  CHECK(waits.back() <= 1000);
  CHECK(decision.retry_after_ >= 250);
}

TEST_CASE("programs are admitted only while the allotment covers their expected requests") {
  auto bucket = allotment_bucket{};
  bucket.claim(claim(later_request), 1, 0);
  auto now = milliseconds{2000};  // The bucket is full.
  auto started = 0;
  while (bucket.claim(claim(first_request), 1, now).granted_) {
    ++started;
  }
  CHECK(started >= 2);
  CHECK(started <= 4);  // Burst of ten plus ten refilled while their requests arrive.
  CHECK(bucket.claim(claim(later_request), 1, now).granted_);
  CHECK(bucket.claim(claim(first_request), 1, now + 5000).granted_);  // The commitments have decayed.
}

TEST_CASE("started programs may overdraw once, and the overdraft is deducted from later refills") {
  auto settings = allotment_bucket_settings{};
  settings.overdraft_ = 5;
  auto bucket = allotment_bucket{settings};
  auto strict = allotment_bucket{};
  auto at_once = [](allotment_bucket& granting) {
    auto count = 0;
    while (granting.claim(claim(later_request), 1, 0).wait_ == 0) {
      ++count;
    }
    return count;
  };
  CHECK(at_once(bucket) == at_once(strict) + 5);
  CHECK(!bucket.claim(claim(first_request), 1, 300).granted_);
}

TEST_CASE("a bucket grants the given share of the allotment") {
  auto bucket = allotment_bucket{};
  auto granted = 0;
  for (auto now = milliseconds{0}; now < 20000; now += 10) {
    granted += bucket.claim(claim(later_request), 0.5, now).granted_ ? 1 : 0;
  }
  CHECK(granted >= 95);
  CHECK(granted <= 108);
}

TEST_CASE("requests granted by a backup grantor are deducted") {
  auto bucket = allotment_bucket{};
  bucket.claim(claim(later_request), 1, 0);
  bucket.debit(8);
  CHECK(bucket.claim(claim(later_request), 1, 10).wait_ >= 700);  // 7.4 requests short.
  bucket.debit(8);
  CHECK(!bucket.claim(claim(later_request), 1, 10).granted_);
}

TEST_CASE("equal shares add up to the allotment and reserve a part for started programs") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(100000);
  auto shares = equal_shares{{}, [] { return std::int64_t{6}; }, clock};
  auto granted = 0;
  while (shares.decide(claim(first_request)).granted_) {
    ++granted;
  }
  CHECK(granted == 5);
  while (shares.decide(claim(later_request)).granted_) {
    ++granted;
  }
  CHECK(granted == 10);  // 60 requests per window, shared by six daemons.
  CHECK(shares.decide(claim(later_request)).retry_after_ == 5000);
  clock->advance(5000);
  CHECK(shares.decide(claim(first_request)).granted_);
}

TEST_CASE("all daemons compute the same order and skip unresponsive daemons temporarily") {
  auto order_of = [](const std::string& vm, std::vector<std::string> others) {
    auto order = grantor_order{grantor_order_settings{vm}};
    order.set_members(std::move(others));
    return order;
  };
  auto first_order = order_of("vm-1", {"vm-2", "vm-3"});
  auto second_order = order_of("vm-2", {"vm-1", "vm-3"});
  auto best = first_order.candidates("a", 0);
  CHECK(best == second_order.candidates("a", 0));
  CHECK(best.front() == first_order.primary("a"));
  CHECK(first_order.size() == 3);
  auto third_order = order_of("vm-0", {"vm-1", "vm-2", "vm-3"});
  auto preferred = third_order.candidates("a", 0).front();
  if (preferred != "vm-0") {
    third_order.record_unresponsive(preferred, 0);
    CHECK(third_order.candidates("a", 100).front() != preferred);
    CHECK(third_order.candidates("a", 500).front() == preferred);
    third_order.record_unresponsive(preferred, 500);
    CHECK(third_order.candidates("a", 1400).front() != preferred);  // The backoff has doubled.
    third_order.record_seen(preferred);
    CHECK(third_order.candidates("a", 1400).front() == preferred);
    CHECK(third_order.primary("a") == preferred);
  }
}

TEST_CASE("accounts are distributed evenly over daemons") {
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

TEST_CASE("each side of a partition grants the share of its daemons") {
  CHECK(reachable_share({66, 66, 1200, 5000, 200, 16}) == 1);
  CHECK(reachable_share({66, 52, 1200, 5000, 200, 16}) == 1);  // Within random variation.
  auto larger_side = reachable_share({66, 33, 1200, 5000, 200, 16});
  auto smaller_side = reachable_share({66, 17, 1200, 5000, 200, 16});
  CHECK(larger_side < 0.75);
  CHECK(larger_side + smaller_side < 1.1);
  CHECK(reachable_share({66, 0, 1200, 5000, 200, 16}) == Approx(1.0 / 67));
  CHECK(reachable_share({66, 0, 1200, 300, 200, 16}) == 1);  // Less than one window observed.
  CHECK(reachable_share({0, 0, 1200, 5000, 200, 16}) == 1);
}

TEST_CASE("the mean program size follows the traffic and is at least one request") {
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

/// Client accounts under load, over a whole fleet, without a network: never above the rule, few needless
/// refusals, and programs that are let begin are carried through.
#include "fleet_model/allotment_model.h"

#include <array>
#include <catch2/catch.hpp>

namespace birchlever::model {
namespace {

constexpr auto seeds = std::array{1, 2, 3};

/// One account sends 7.5 times its usual for twelve seconds, through the daemons of one data hall of three:
/// the deployment's sheet names the impairment, its days the factor.
auto hot_account() -> allotment_load {
  auto load = allotment_load{};
  load.stands_for_ = "one account sends many times its usual through one data hall";
  load.hot_from_ms_ = 8000;
  load.hot_for_ms_ = 12000;
  load.hot_factor_ = 7.5;
  load.entry_share_ = 0.33;
  return load;
}

auto share_completed(const allotment_outcome& outcome) -> double {
  return static_cast<double>(outcome.completed_) / outcome.owed_;
}

auto share_refused(const allotment_outcome& outcome) -> double {
  return static_cast<double>(outcome.refused_) / static_cast<double>(outcome.requests_);
}

auto spoiled_share(const allotment_outcome& outcome) -> double {
  return static_cast<double>(outcome.spoiled_) / static_cast<double>(outcome.programs_);
}

}  // namespace

TEST_CASE("in calm an account within its limit is hardly refused anything, large or small") {
  for (auto rate : {20.0, 55.0, 300.0}) {
    for (auto seed : seeds) {
      auto load = allotment_load{};
      load.allotment_ = {rate, rate};
      auto outcome = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
      INFO("rate " << rate << ", refused " << outcome.refused_ << " of " << outcome.requests_);
      CHECK(share_refused(outcome) <= 0.03);
      CHECK(outcome.most_over_ <= 1);
    }
  }
}

TEST_CASE("equal shares refuse what lies within the limit: that is why one daemon grants") {
  auto refused = 0.0;
  for (auto seed : seeds) {
    refused += share_refused(play_allotment({}, allotment_way::equal, static_cast<std::uint64_t>(seed)));
  }
  CHECK(refused / 3 > 0.2);
}

TEST_CASE("a hot account keeps its limit and completes close to the share that it allows") {
  auto in_time = 0;
  auto in_time_scattered = 0;
  for (auto seed : seeds) {
    auto outcome = play_allotment(hot_account(), allotment_way::central, static_cast<std::uint64_t>(seed));
    auto baseline = play_allotment(hot_account(), allotment_way::scattered, static_cast<std::uint64_t>(seed));
    in_time += outcome.in_time_;
    in_time_scattered += baseline.in_time_;
    INFO("completed " << outcome.completed_ << " of " << outcome.owed_ << " owed, scattered "
                      << baseline.completed_ << ", spoiled " << outcome.spoiled_ << " and "
                      << baseline.spoiled_ << ", fullest window " << outcome.most_over_);
    CHECK(outcome.most_over_ <= 1);
    CHECK(share_completed(outcome) >= 0.9);
    CHECK(spoiled_share(outcome) <= 0.02);
    CHECK(spoiled_share(baseline) >= 0.1);  // Begun, spoiled, and what they used is lost to the others.
  }
  CHECK(in_time > 1.5 * in_time_scattered);
}

TEST_CASE("a hot account keeps its limit while half of the daemons lose power, with its grantor or without") {
  for (auto seed : seeds) {
    auto load = hot_account();
    load.entry_share_ = 1;
    load.kill_at_ms_ = 13000;
    load.kill_share_ = seed == 1 ? 1.0 : 0.5;
    auto outcome = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
    INFO("fullest window " << outcome.most_over_);
    CHECK(outcome.most_over_ <= 1);
  }
}

TEST_CASE("a hot account keeps its limit while a third of the daemons are cut off for nine seconds") {
  for (auto rate : {20.0, 55.0, 300.0}) {
    for (auto seed : seeds) {
      auto load = hot_account();
      load.allotment_ = {rate, rate};
      load.entry_share_ = 1;
      load.cut_from_ms_ = 10000;
      load.cut_for_ms_ = 9000;
      load.cut_share_ = 0.33;
      auto outcome = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
      INFO("rate " << rate << ", fullest window " << outcome.most_over_);
      CHECK(outcome.most_over_ <= 1);
    }
  }
}

TEST_CASE("a limit that falls far below what is sent is kept") {
  for (auto seed : seeds) {
    auto load = allotment_load{};
    load.lower_at_ms_ = 10000;
    load.lower_to_ = 0.2;
    auto outcome = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
    CHECK(outcome.most_over_ <= 1);
  }
}

TEST_CASE("an account within its limit is refused little while a third of the daemons are cut off") {
  auto refused = 0.0;
  for (auto seed : seeds) {
    auto load = allotment_load{};
    load.cut_from_ms_ = 10000;
    load.cut_for_ms_ = 3000;  // Beyond, what is known of keys is too old there.
    load.cut_share_ = 0.33;
    refused += share_refused(play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed)));
  }
  INFO("refused " << refused / 3);
  CHECK(refused / 3 <= 0.1);
}

TEST_CASE("programs of an account whose allotment holds less than one program end, and some in time") {
  auto in_time = 0;
  auto in_time_strictly = 0;
  for (auto seed : seeds) {
    auto load = allotment_load{};
    load.allotment_ = {2,
                       2};  // The smallest accounts of the shifted deployment send a request or two a second.
    load.duration_ms_ = 120000;
    auto outcome = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
    load.overdraft_ = 0;
    auto strict = play_allotment(load, allotment_way::central, static_cast<std::uint64_t>(seed));
    CHECK(outcome.most_over_ <= 1);
    CHECK(spoiled_share(outcome) <= 0.02);
    in_time += outcome.in_time_;
    in_time_strictly += strict.in_time_;
  }
  INFO("in time " << in_time << ", without overdraft " << in_time_strictly);
  CHECK(in_time > 2 * in_time_strictly);
}

TEST_CASE("asks follow the requests, not the number of daemons") {
  auto small = allotment_load{};
  small.daemons_ = 12;
  auto large = allotment_load{};
  large.daemons_ = 350;
  auto of_small = play_allotment(small, allotment_way::central, 1);
  auto of_large = play_allotment(large, allotment_way::central, 1);
  CHECK(of_large.asks_per_s_ < 1.5 * of_small.asks_per_s_);
}

}  // namespace birchlever::model

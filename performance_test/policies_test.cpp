/// Policies side by side on the same load, with regression bounds on the deterministic results.
#include <array>
#include <cmath>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>

#include "birchlever/core/hashing.h"
#include "birchlever/operators/statistics.h"
#include "performance_test/performance_tests.h"
#include "performance_test/picture.h"
#include "performance_test/policy_bench.h"

namespace birchlever::performance {
namespace {

constexpr auto kinds =
    std::array{policy_kind::round_robin, policy_kind::least_loaded, policy_kind::prefix_affinity,
               policy_kind::least_attained_service, policy_kind::program_aware};
constexpr auto seeds = std::array<std::uint64_t, 3>{1, 2, 3};
constexpr auto most_worse_in_fault = 1.05;

/// All seeds of one policy in one case.
struct case_result {
  std::vector<double> latencies_;
  double wasted_ = 0;
  double dead_ = 0;
  double slowdown_ = 0;
};

auto run_case(policy_kind kind, workload load, bench_fault fault) -> case_result {
  auto joined = case_result{};
  for (auto seed : seeds) {
    auto settings = bench_settings{load, fault};
    settings.seed_ = seed;
    auto one = run_bench({kind, {}}, settings);
    joined.latencies_.insert(joined.latencies_.end(), one.latencies_ms_.begin(), one.latencies_ms_.end());
    joined.wasted_ += one.wasted();
    joined.dead_ += one.dead_token_seconds_;
    joined.slowdown_ = std::max(joined.slowdown_, one.worst_account_slowdown_);
  }
  return joined;
}

auto row(std::ostringstream& text, policy_kind kind, const case_result& one, const case_result& own) -> void {
  auto paired = paired_difference(own.latencies_, one.latencies_);
  text << "| " << name_of(kind) << " | " << mean_of(one.latencies_).value_ / 1000 << " | "
       << quantile_of(one.latencies_, 0.5) / 1000 << " | " << quantile_of(one.latencies_, 0.95) / 1000
       << " | " << quantile_of(one.latencies_, 0.99) / 1000 << " | " << one.wasted_ / 1e6 << " | "
       << one.dead_ / 1e6 << " | " << one.slowdown_ << " | " << paired.value_ / 1000 << " ["
       << paired.low_ / 1000 << ", " << paired.high_ / 1000 << "] |\n";
}

}  // namespace

auto test_policies(const test_settings& settings) -> bool {
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(2);
  auto good = true;
  auto bars = std::vector<std::pair<std::string, double>>{};
  for (auto load : {workload::map_viewer, workload::signing_house}) {
    for (auto fault : {bench_fault::none, bench_fault::engine_dies, bench_fault::engine_slows,
                       bench_fault::events_lost, bench_fault::reports_late, bench_fault::hot_account}) {
      auto results = std::map<policy_kind, case_result>{};
      for (auto kind : kinds) {
        results[kind] = run_case(kind, load, fault);
      }
      const auto& own = results[policy_kind::program_aware];
      text << "\n### " << name_of(load) << ", fault: " << name_of(fault) << "\n\n"
           << "| policy | mean s | p50 s | p95 s | p99 s | wasted Mtokens | dead Mtoken-s | worst account "
              "slowdown | "
              "own minus this, mean s, 95 % |\n|---|---|---|---|---|---|---|---|---|\n";
      auto best_p95 = std::numeric_limits<double>::infinity();
      auto baseline_p95 = best_p95;
      auto baseline_waste = best_p95;
      for (auto kind : kinds) {
        row(text, kind, results[kind], own);
        if (fault == bench_fault::none) {
          auto label = std::string{name_of(load)} + " " + std::string{name_of(kind)};
          bars.emplace_back(label, quantile_of(results[kind].latencies_, 0.95) / 1000);
        }
        auto p95 = quantile_of(results[kind].latencies_, 0.95);
        auto baseline = kind == policy_kind::round_robin || kind == policy_kind::least_loaded;
        best_p95 = kind == policy_kind::program_aware ? best_p95 : std::min(best_p95, p95);
        baseline_p95 = baseline ? std::min(baseline_p95, p95) : baseline_p95;
        baseline_waste = baseline ? std::min(baseline_waste, results[kind].wasted_) : baseline_waste;
      }
      auto own_p95 = quantile_of(own.latencies_, 0.95);
      auto gain = 1 - own_p95 / baseline_p95;
      auto waste_gain = 1 - own.wasted_ / baseline_waste;
      text << "\nAgainst the better baseline: p95 " << gain * 100 << " % lower, waste " << waste_gain * 100
           << " % lower; against the best other policy: p95 " << (own_p95 / best_p95 - 1) * 100 << " %.\n";
      auto broken = own_p95 > best_p95 * most_worse_in_fault || waste_gain < 0.5;
      if (broken) {
        text << "**bound broken**\n";
        good = false;
      }
    }
  }
  text << "\nHash of the tables: " << std::hex << hash_of(text.str()) << "\n";
  publish(settings, "policies", text.str());
  draw_bars(settings.tables_, "policies", "program p95 in s at 80 % load, no fault", bars);
  return good || !settings.check_;
}

}  // namespace birchlever::performance

/// What control costs at rest against the number of daemons, and how fast a configuration spreads.
#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "birchlever/operators/statistics.h"
#include "performance_test/performance_tests.h"
#include "performance_test/picture.h"
#include "scenarios/test_fleet.h"

namespace birchlever::performance {
namespace {

using nlohmann::json;

constexpr auto rest_s = 8;
constexpr auto changes = 5;
constexpr auto not_accepted_ms = 60000.0;  // A change that failed breaks the bound.
constexpr auto most_settling_rounds = 5;
constexpr auto most_windows = 6;  // A fleet that takes shards over in each of them never comes to rest.
constexpr auto settling_round = std::chrono::seconds{7};  // Longer than the looks before a hand-over.
constexpr auto service_settings_text =
    "--poll_ms=2000 --lease_ms=6000 --lease_margin_ms=1000 --lease_renew_ms=2000 "
    "--configuration_bound_ms=7000 "
    "--sweep_ms=30000 --test_controls=0 --http_threads=32 --peer_threads=8 --log_level=warning";
constexpr auto ms_per_s = 1000.0;
constexpr auto kb_per_mb = 1024.0;

struct control_cost {
  double cpu_percent_ = 0;
  double memory_mb_ = 0;
  double reads_ = 0;
  double writes_ = 0;
  double lists_ = 0;
  std::vector<double> spread_ms_;
  int disturbed_windows_ = 0;  ///< Thrown away: a shard was taken over within them.
  bool at_rest_ = false;
  bool ran_on_ = false;  ///< No process ended by itself.
};

auto rows_of(scenarios::test_fleet& fleet) -> json {
  auto body = json::parse(fleet.operate(1, "show daemons").body_, nullptr, false);
  return body.is_object() ? body["rows"] : json::array();
}

auto total(const json& rows, const char* name) -> double {
  auto sum = 0.0;
  for (const auto& row : rows) {
    sum += row.value(name, 0.0);
  }
  return sum;
}

/// Shards find their preferred owners after a start; at rest means after that.
auto await_rest(scenarios::test_fleet& fleet) -> void {
  auto taken = -1.0;
  for (auto round = 0; round < most_settling_rounds && total(rows_of(fleet), "takeovers") != taken; ++round) {
    taken = total(rows_of(fleet), "takeovers");
    std::this_thread::sleep_for(settling_round);
  }
}

auto spread_once(scenarios::test_fleet& fleet, int daemons, int number) -> double {
  auto began = std::chrono::steady_clock::now();
  auto statement = "create policy spread" + std::to_string(number) + " using least_loaded";
  auto answer = json::parse(fleet.operate(1, statement).body_, nullptr, false);
  if (!answer.is_object() || !answer.contains("generation")) {
    return not_accepted_ms;
  }
  auto generation = answer.value("generation", std::int64_t{0});
  (void)scenarios::eventually(10000, [&] {
    auto rows = rows_of(fleet);
    auto there = std::count_if(rows.begin(), rows.end(), [&](const json& row) {
      return row.value("generation", std::int64_t{0}) >= generation;
    });
    return there == daemons;
  });
  return std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - began}.count();
}

/// Measures once. False when a shard changed hands meanwhile or a daemon did not answer: what a hand-over
/// writes is no cost at rest.
auto measure_window(scenarios::test_fleet& fleet, int daemons, control_cost& cost) -> bool {
  auto before = rows_of(fleet);
  auto counts_before = fleet.get_json(fleet.platform_address(), "/counts");
  std::this_thread::sleep_for(std::chrono::seconds{rest_s});
  auto counts_after = fleet.get_json(fleet.platform_address(), "/counts");
  auto after = rows_of(fleet);
  auto rate = [&](const char* name) {
    return (counts_after.value(name, 0.0) - counts_before.value(name, 0.0)) / rest_s;
  };
  cost.cpu_percent_ =
      (total(after, "cpu_ms") - total(before, "cpu_ms")) / daemons / (rest_s * ms_per_s) * 100;
  cost.memory_mb_ = total(after, "peak_memory_kb") / daemons / kb_per_mb;
  cost.reads_ = rate("reads");
  cost.writes_ = rate("writes");
  cost.lists_ = rate("list");
  auto all_answered = before.size() == static_cast<std::size_t>(daemons) && after.size() == before.size();
  auto taken = total(after, "takeovers") - total(before, "takeovers");
  if (!all_answered || taken != 0) {
    std::cerr << "control: a window of " << rest_s << " s with " << daemons
              << " daemons was disturbed: " << taken << " takeovers, " << cost.writes_ << " writes/s, "
              << after.size() << " daemons answered\n";
    return false;
  }
  return true;
}

auto measure(const test_settings& settings, int daemons) -> control_cost {
  auto plan = scenarios::scenario{};
  plan.daemons_ = daemons;
  plan.engines_ = 4;
  plan.settings_ = service_settings_text;
  auto fleet = scenarios::test_fleet{plan, 230, settings.binaries_, "/tmp", ""};
  auto cost = control_cost{};
  if (!fleet.start()) {
    fleet.all_run_on();
    return cost;
  }
  await_rest(fleet);
  while (!cost.at_rest_ && cost.disturbed_windows_ < most_windows) {
    cost.at_rest_ = measure_window(fleet, daemons, cost);
    cost.disturbed_windows_ += cost.at_rest_ ? 0 : 1;
  }
  for (auto change = 0; change < changes; ++change) {
    cost.spread_ms_.push_back(spread_once(fleet, daemons, change));
  }
  cost.ran_on_ = fleet.all_run_on();
  return cost;
}

}  // namespace

auto test_control(const test_settings& settings) -> bool {
  auto text = std::ostringstream{};
  auto reads = std::vector<std::pair<double, double>>{};
  auto writes = std::vector<std::pair<double, double>>{};
  auto good = true;
  auto ran_on = true;
  text << std::fixed << std::setprecision(2)
       << "| daemons | CPU % of a core, each | memory MB, each | store reads/s | store writes/s | list "
          "reads/s | "
          "spread of a change ms: median | most |\n|---|---|---|---|---|---|---|---|\n";
  for (auto daemons : {1, 3, 12, 48}) {
    if (daemons > settings.most_daemons_) {
      continue;
    }
    auto cost = measure(settings, daemons);
    ran_on = ran_on && cost.ran_on_;
    reads.emplace_back(daemons, cost.reads_);
    writes.emplace_back(daemons, cost.writes_);
    auto most =
        cost.spread_ms_.empty() ? 0 : *std::max_element(cost.spread_ms_.begin(), cost.spread_ms_.end());
    text << "| " << daemons << " | " << cost.cpu_percent_ << " | " << cost.memory_mb_ << " | " << cost.reads_
         << " | " << cost.writes_ << " | " << cost.lists_ << " | " << quantile_of(cost.spread_ms_, 0.5)
         << " | " << most << " |\n";
    good = good && cost.at_rest_ && cost.reads_ <= 1 + daemons * 0.8 && cost.writes_ <= 5 && most < 8000 &&
           cost.reads_ > 0;
  }
  auto read_fit = fit_line(reads);
  auto write_fit = fit_line(writes);
  text << std::setprecision(3) << "\nFit: store reads/s = " << read_fit.offset_ << " + " << read_fit.slope_
       << " a daemon (residual " << read_fit.residual_ << "); store writes/s = " << write_fit.offset_ << " + "
       << write_fit.slope_ << " a daemon (residual " << write_fit.residual_ << ")\n";
  publish(settings, "control", text.str());
  draw_lines(settings.tables_, "control", "store operations a second at rest, against daemons",
             {{"reads/s", reads}, {"writes/s", writes}});
  return ran_on && (good || !settings.check_);
}

}  // namespace birchlever::performance

/// What one decision costs against the number of engines.
#include <chrono>
#include <iomanip>
#include <sstream>

#include "birchlever/upstream/upstream_table.h"
#include "performance_test/performance_tests.h"
#include "performance_test/picture.h"

namespace birchlever::performance {
namespace {

constexpr auto rounds = 4000;
constexpr auto bound_us = 20.0;
constexpr auto large_fleet = 720;

auto measure(int engines) -> double {
  auto table = upstream_table{};
  auto entries = std::vector<vm_entry>{};
  for (auto index = 0; index < engines; ++index) {
    auto entry = vm_entry{"engine-" + std::to_string(index), vm_kind::engine, {"127.0.0.1", 1}, "hall-a"};
    entry.models_ = {"model-" + std::to_string(index % 5)};
    entries.push_back(entry);
  }
  table.set_upstreams(entries, {}, {});
  auto policy = value(make_policy({policy_kind::program_aware, {}}));
  auto wish = placement_request{};
  wish.call_.model_ = "model-1";
  wish.call_.prompt_tokens_ = 4000;
  wish.call_.max_tokens_ = 200;
  wish.last_upstream_ = "engine-1";
  wish.last_prefix_tokens_ = 3000;
  auto began = std::chrono::steady_clock::now();
  for (auto round = 0; round < rounds; ++round) {
    (void)table.choose(*policy, wish, round);
  }
  auto spent = std::chrono::duration<double, std::micro>{std::chrono::steady_clock::now() - began}.count();
  return spent / rounds;
}

}  // namespace

auto test_decisions(const test_settings& settings) -> bool {
  auto text = std::ostringstream{};
  auto points = std::vector<std::pair<double, double>>{};
  text << std::fixed << std::setprecision(2) << "| engines | us a decision |\n|---|---|\n";
  for (auto engines : {12, 60, 240, large_fleet}) {
    points.emplace_back(engines, measure(engines));
    text << "| " << engines << " | " << points.back().second << " |\n";
  }
  auto fit = fit_line(points);
  text << "\nFit: " << fit.offset_ << " us + " << std::setprecision(4) << fit.slope_
       << " us an engine, residual " << fit.residual_ << " us\n";
  publish(settings, "decisions", text.str());
  draw_lines(settings.tables_, "decisions", "one decision: us against engines", {{"us", points}});
  return !settings.check_ ||
         points.back().second <= bound_us * 4;  // Times vary; the target itself is in docs.
}

}  // namespace birchlever::performance

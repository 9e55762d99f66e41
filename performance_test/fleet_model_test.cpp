/// Plays the patterns of the fleet model and prints what became of their load.
#include <algorithm>
#include <array>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "fleet_model/fleet_model.h"
#include "performance_test/performance_tests.h"

namespace birchlever::performance {
namespace {

constexpr auto seeds = std::array<std::uint64_t, 2>{1U, 2U};
constexpr auto percent = 100.0;

auto pattern_names(const std::string& only) -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  for (const auto& file : std::filesystem::directory_iterator{FLEET_MODEL_PATTERNS}) {
    auto name = file.path().stem().string();
    if (only.empty() || only == name) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

auto row(std::ostringstream& text, const std::string& name, std::uint64_t seed,
         const model::model_outcome& one) -> void {
  text << "| " << name << " | " << seed << " | " << one.worth() << " | " << one.programs_ << " | "
       << one.late_ << " | " << one.failed_ << " | " << percent * one.mean_avoided_ << " | "
       << percent * one.most_avoided_ << " | " << one.dead_offers_ << " | " << one.busiest_engine_ << " | "
       << one.idle_engines_ << " | " << one.read_share_ << " |\n";
}

}  // namespace

auto test_fleet_model(const test_settings& settings) -> bool {
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(3)
       << "| pattern | seed | worth | programs | late | failed | sound upstreams avoided, % | most at one "
          "daemon, % | offers to dead upstreams over their share | busiest engine over mean | engines "
          "without requests | prompt share "
          "read |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& name : pattern_names(settings.pattern_)) {
    auto pattern = model::read_pattern(std::string{FLEET_MODEL_PATTERNS} + "/" + name + ".pattern");
    if (!ok(pattern)) {
      std::cerr << failure(pattern).detail_ << "\n";
      return false;
    }
    for (auto seed : seeds) {
      auto played = model::play(value(pattern), {settings.engine_policy_, {}, seed});
      if (!ok(played)) {
        std::cerr << failure(played).detail_ << "\n";
        return false;
      }
      row(text, name, seed, value(played));
    }
  }
  publish(settings, "fleet", text.str());
  return true;
}

}  // namespace birchlever::performance

#include "birchlever/upstream/service_pace.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace birchlever {
namespace {

constexpr auto min_duration = 0.5;  // The clock counts whole ms.

auto level_of(double duration, double nominal) -> double {
  return std::log(std::max(duration, min_duration) / nominal);
}

auto median_of(std::vector<double> numbers) -> double {
  auto middle = numbers.begin() + static_cast<std::ptrdiff_t>(numbers.size() / 2);
  std::nth_element(numbers.begin(), middle, numbers.end());
  return *middle;
}

}  // namespace

auto service_pace::compare(const std::string& kind, double duration, double nominal) const
    -> std::optional<speed_observation> {
  auto found = references_.find(kind);
  if (found == references_.end() || !found->second.known_) {
    return std::nullopt;
  }
  auto observation = speed_observation{};
  observation.log_ratio_ = level_of(duration, nominal) - found->second.level_;
  auto noise = found->second.deviation_ / settings_.precise_;
  observation.weight_ = 1 / (1 + noise * noise);
  return observation;
}

auto service_pace::record(const std::string& kind, double duration, double nominal, double log_slowness,
                          const std::string& upstream) -> void {
  auto& changed = references_[kind];
  changed.samples_.push_back({level_of(duration, nominal) - log_slowness, upstream});
  if (changed.samples_.size() > settings_.window_) {
    changed.samples_.pop_front();
  }
  update(changed);
}

auto service_pace::update(reference& changed) const -> void {
  auto levels = std::vector<double>{};
  auto upstreams = std::set<std::string>{};
  for (const auto& entry : changed.samples_) {
    levels.push_back(entry.level_);
    upstreams.insert(entry.upstream_);
  }
  auto enough = upstreams.size() >= settings_.min_upstreams_ && levels.size() >= settings_.min_samples_;
  auto settled = upstreams.size() > 1 && levels.size() >= settings_.settled_window_;
  changed.known_ = enough || settled;
  changed.level_ = median_of(levels);
  for (auto& level : levels) {
    level = std::abs(level - changed.level_);
  }
  changed.deviation_ = median_of(std::move(levels));
}

}  // namespace birchlever

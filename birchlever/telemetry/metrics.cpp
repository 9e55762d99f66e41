#include "birchlever/telemetry/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

namespace birchlever {
namespace {

namespace histogram = boost::histogram;

constexpr auto bins = 120U;
constexpr auto lowest_ms = 0.01;
constexpr auto highest_ms = 1'000'000.0;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto make_histogram() {
  return histogram::make_histogram(log_axis{bins, lowest_ms, highest_ms});
}

struct distribution {
  decltype(make_histogram()) bins_ = make_histogram();
  std::int64_t count_ = 0;
  double sum_ = 0;

  [[nodiscard]] auto quantile(double share) const -> double {
    auto rank = share * static_cast<double>(count_);
    auto seen = 0.0;
    for (auto&& cell : histogram::indexed(bins_, histogram::coverage::all)) {
      seen += static_cast<double>(*cell);
      if (seen >= rank && seen > 0) {
        return std::sqrt(std::max(lowest_ms, cell.bin().lower()) * std::min(highest_ms, cell.bin().upper()));
      }
    }
    return 0;
  }
};

/// Splits name{labels} so that a suffix can go before the labels.
auto with_suffix(const std::string& name, const std::string& suffix, const std::string& label)
    -> std::string {
  auto brace = name.find('{');
  auto base = name.substr(0, brace);
  auto labels = brace == std::string::npos ? std::string{} : name.substr(brace + 1, name.size() - brace - 2);
  if (!label.empty()) {
    labels += (labels.empty() ? "" : ",") + label;
  }
  return base + suffix + (labels.empty() ? "" : "{" + labels + "}");
}

}  // namespace

struct metrics::state {
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, distribution> distributions_;
};

metrics::metrics() : state_{std::make_unique<state>()} {}

metrics::~metrics() = default;

auto metrics::count(const std::string& name, std::int64_t by) -> void {
  auto lock = std::lock_guard{state_->mutex_};
  state_->counters_[name] += by;
}

auto metrics::gauge(const std::string& name, double level) -> void {
  auto lock = std::lock_guard{state_->mutex_};
  state_->gauges_[name] = level;
}

auto metrics::observe(const std::string& name, double milliseconds) -> void {
  auto lock = std::lock_guard{state_->mutex_};
  auto& one = state_->distributions_[name];
  one.bins_(milliseconds);
  ++one.count_;
  one.sum_ += milliseconds;
}

auto metrics::quantiles_of(const std::string& name) const -> quantiles {
  auto lock = std::lock_guard{state_->mutex_};
  auto found = state_->distributions_.find(name);
  if (found == state_->distributions_.end()) {
    return {};
  }
  const auto& one = found->second;
  return {one.count_, one.sum_ / static_cast<double>(one.count_), one.quantile(0.5), one.quantile(0.95),
          one.quantile(0.99)};
}

auto metrics::counter(const std::string& name) const -> std::int64_t {
  auto lock = std::lock_guard{state_->mutex_};
  auto found = state_->counters_.find(name);
  return found == state_->counters_.end() ? 0 : found->second;
}

auto metrics::to_prometheus() const -> std::string {
  auto lock = std::lock_guard{state_->mutex_};
  auto text = std::ostringstream{};
  auto typed = std::set<std::string>{};
  auto declare = [&](const std::string& name, const char* type) {
    auto base = name.substr(0, name.find('{'));
    if (typed.insert(base).second) {
      text << "# TYPE " << base << ' ' << type << '\n';
    }
  };
  for (const auto& [name, total] : state_->counters_) {
    declare(name, "counter");
    text << name << ' ' << total << '\n';
  }
  for (const auto& [name, level] : state_->gauges_) {
    declare(name, "gauge");
    text << name << ' ' << level << '\n';
  }
  for (const auto& [name, one] : state_->distributions_) {
    declare(name, "summary");
    for (auto share : {"0.5", "0.95", "0.99"}) {
      text << with_suffix(name, "", std::string{"quantile=\""} + share + "\"") << ' '
           << one.quantile(std::stod(share)) << '\n';
    }
    text << with_suffix(name, "_sum", "") << ' ' << one.sum_ << '\n';
    text << with_suffix(name, "_count", "") << ' ' << one.count_ << '\n';
  }
  return text.str();
}

}  // namespace birchlever

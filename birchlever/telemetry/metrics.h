/// Counters, gauges and latency histograms of one process, as Prometheus text.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace birchlever {

/// Quantiles of one histogram.
struct quantiles {
  std::int64_t count_ = 0;
  double mean_ = 0;
  double p50_ = 0;
  double p95_ = 0;
  double p99_ = 0;
};

/// Thread safe. Names are Prometheus names with labels in braces, such as calls_total{result="ok"}.
class metrics {
 public:
  metrics();
  ~metrics();

  /// Adds to a counter.
  auto count(const std::string& name, std::int64_t by = 1) -> void;

  /// Sets a gauge.
  auto gauge(const std::string& name, double level) -> void;

  /// Adds a duration in milliseconds to a histogram.
  auto observe(const std::string& name, double milliseconds) -> void;

  /// Quantiles of a histogram, to within its bin width (about 10 %).
  [[nodiscard]] auto quantiles_of(const std::string& name) const -> quantiles;

  /// The value of a counter.
  [[nodiscard]] auto counter(const std::string& name) const -> std::int64_t;

  /// Everything in Prometheus text format.
  [[nodiscard]] auto to_prometheus() const -> std::string;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace birchlever

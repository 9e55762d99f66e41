/// The performance tests by name.
#pragma once

#include <string>
#include <vector>

namespace birchlever::performance {

/// What a test is told.
struct test_settings {
  std::string binaries_;
  std::string tables_;
  bool check_ = false;
  int most_daemons_ = 48;
  std::string pattern_;        ///< Plays only this pattern of the fleet model.
  std::string engine_policy_;  ///< Instead of the gateway's own.
};

/// A test; false when a bound was checked and broken.
struct performance_test {
  std::string name_;
  bool (*run_)(const test_settings&);
};

/// Policies compared on the event clock.
auto test_policies(const test_settings& settings) -> bool;

/// Cost of one decision against engines.
auto test_decisions(const test_settings& settings) -> bool;

/// Cost of a takeover against programs, on the store in memory.
auto test_takeover(const test_settings& settings) -> bool;

/// Cost of control against daemons, in processes.
auto test_control(const test_settings& settings) -> bool;

/// Added latency of the system against calling an engine directly, in processes.
auto test_latency(const test_settings& settings) -> bool;

/// What a gateway adds to a turn, and what a turn costs it, in one process.
auto test_gateway(const test_settings& settings) -> bool;

/// Patterns of load on the model of a whole fleet: worth, avoidance, evenness.
auto test_fleet_model(const test_settings& settings) -> bool;

/// How allotments of client accounts are kept, by two ways and a baseline, on the fleet model.
auto test_allotments(const test_settings& settings) -> bool;

[[nodiscard]] auto all_tests() -> std::vector<performance_test>;

/// A straight line through points, with its residual.
struct line_fit {
  double offset_ = 0;
  double slope_ = 0;
  double residual_ = 0;  ///< Root of the mean squared distance.
};

[[nodiscard]] auto fit_line(const std::vector<std::pair<double, double>>& points) -> line_fit;

/// Prints a table and, with a folder, writes it to a file there.
auto publish(const test_settings& settings, const std::string& name, const std::string& text) -> void;

}  // namespace birchlever::performance

#include "performance_test/performance_tests.h"

#include <cmath>
#include <fstream>
#include <iostream>

namespace birchlever::performance {

auto all_tests() -> std::vector<performance_test> {
  return {{"policies", test_policies}, {"decisions", test_decisions},  {"takeover", test_takeover},
          {"control", test_control},   {"latency", test_latency},      {"gateway", test_gateway},
          {"fleet", test_fleet_model}, {"allotments", test_allotments}};
}

auto fit_line(const std::vector<std::pair<double, double>>& points) -> line_fit {
  auto count = static_cast<double>(points.size());
  auto sum_x = 0.0;
  auto sum_y = 0.0;
  auto sum_xx = 0.0;
  auto sum_xy = 0.0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  auto spread = count * sum_xx - sum_x * sum_x;
  auto fit = line_fit{};
  fit.slope_ = spread == 0 ? 0 : (count * sum_xy - sum_x * sum_y) / spread;
  fit.offset_ = (sum_y - fit.slope_ * sum_x) / count;
  auto squares = 0.0;
  for (const auto& [x, y] : points) {
    squares += std::pow(y - fit.offset_ - fit.slope_ * x, 2);
  }
  fit.residual_ = std::sqrt(squares / count);
  return fit;
}

auto publish(const test_settings& settings, const std::string& name, const std::string& text) -> void {
  std::cout << text << std::flush;
  if (!settings.tables_.empty()) {
    std::ofstream{settings.tables_ + "/" + name + ".md"} << text;
  }
}

}  // namespace birchlever::performance

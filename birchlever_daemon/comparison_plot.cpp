#include "birchlever_daemon/comparison_plot.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto left = 190;
constexpr auto width = 480;
constexpr auto row_height = 46;
constexpr auto top = 40;
constexpr auto bar_height = 14;

auto bar(std::ofstream& file, int y, double length, const char* colour) -> void {
  file << "<rect x='" << left << "' y='" << y << "' width='" << length << "' height='" << bar_height
       << "' fill='" << colour << "'/>\n";
}

auto label(std::ofstream& file, double x, int y, const std::string& text) -> void {
  file << "<text x='" << x << "' y='" << y << "' font-family='sans-serif' font-size='12'>" << text
       << "</text>\n";
}

}  // namespace

auto write_comparison_plot(const std::string& path, const std::string& rows) -> void {
  auto list = json::parse(rows, nullptr, false);
  if (!list.is_array() || list.empty() || !list.front().contains("p95_ms")) {
    return;
  }
  auto longest = 1.0;
  for (const auto& row : list) {
    longest = std::max(longest, row.value("p95_high_ms", 0.0));
  }
  auto file = std::ofstream{path};
  auto height = top + row_height * static_cast<int>(list.size()) + 10;
  file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << left + width + 120 << "' height='" << height
       << "'>\n";
  label(file, 10, 20,
        "program p95 in ms with 95 % interval (blue); recomputed share of prompt tokens (orange)");
  auto y = top;
  for (const auto& row : list) {
    auto p95 = row.value("p95_ms", 0.0);
    auto scale = width / longest;
    label(file, 10, y + bar_height, row.value("policy", ""));
    bar(file, y, p95 * scale, "#4878a8");
    file << "<line x1='" << left + row.value("p95_low_ms", 0.0) * scale << "' x2='"
         << left + row.value("p95_high_ms", 0.0) * scale << "' y1='" << y + bar_height / 2 << "' y2='"
         << y + bar_height / 2 << "' stroke='black'/>\n";
    label(file, left + p95 * scale + 4, y + bar_height - 2, std::to_string(static_cast<long>(p95)));
    bar(file, y + bar_height + 2, row.value("recomputed_share", 0.0) * width, "#e0903c");
    y += row_height;
  }
  file << "</svg>\n";
}

}  // namespace birchlever

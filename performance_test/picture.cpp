#include "performance_test/picture.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace birchlever::performance {
namespace {

constexpr auto width = 640.0;
constexpr auto height = 360.0;
constexpr auto margin = 60.0;
constexpr auto bar_height = 22.0;
constexpr auto label_width = 280.0;
constexpr auto colours = std::array{"#4878a8", "#e0903c", "#5c9e5c", "#a05c9e"};

auto text_at(std::ofstream& file, double x, double y, const std::string& text) -> void {
  file << "<text x='" << x << "' y='" << y << "' font-family='sans-serif' font-size='12'>" << text
       << "</text>\n";
}

auto begin(std::ofstream& file, double tall, const std::string& title) -> void {
  file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << tall
       << "'>\n<rect width='100%' height='100%' fill='white'/>\n";
  text_at(file, 10, 20, title);
}

}  // namespace

auto draw_lines(const std::string& folder, const std::string& name, const std::string& title,
                const std::vector<picture_line>& lines) -> void {
  if (folder.empty()) {
    return;
  }
  auto most_x = 1e-9;
  auto most_y = 1e-9;
  for (const auto& line : lines) {
    for (const auto& [x, y] : line.points_) {
      most_x = std::max(most_x, x);
      most_y = std::max(most_y, y);
    }
  }
  auto file = std::ofstream{folder + "/" + name + ".svg"};
  begin(file, height, title);
  auto to_x = [&](double x) { return margin + x / most_x * (width - 2 * margin); };
  auto to_y = [&](double y) { return height - margin - y / most_y * (height - 2 * margin); };
  file << "<path d='M" << margin << ' ' << margin << " V" << height - margin << " H" << width - margin
       << "' stroke='black' fill='none'/>\n";
  text_at(file, width - margin - 20, height - margin + 18, std::to_string(static_cast<long>(most_x)));
  text_at(file, 4, margin, std::to_string(most_y).substr(0, 7));
  auto number = std::size_t{0};
  for (const auto& line : lines) {
    const auto* colour = colours.at(number % colours.size());
    file << "<polyline fill='none' stroke='" << colour << "' points='";
    for (const auto& [x, y] : line.points_) {
      file << to_x(x) << ',' << to_y(y) << ' ';
    }
    file << "'/>\n";
    for (const auto& [x, y] : line.points_) {
      file << "<circle cx='" << to_x(x) << "' cy='" << to_y(y) << "' r='3' fill='" << colour << "'/>\n";
    }
    text_at(file, margin + 12, margin + 16.0 * static_cast<double>(number), line.name_ + " (" + colour + ")");
    ++number;
  }
  file << "</svg>\n";
}

auto draw_bars(const std::string& folder, const std::string& name, const std::string& title,
               const std::vector<std::pair<std::string, double>>& bars) -> void {
  if (folder.empty()) {
    return;
  }
  auto most = 1e-9;
  for (const auto& [label, length] : bars) {
    most = std::max(most, length);
  }
  auto file = std::ofstream{folder + "/" + name + ".svg"};
  begin(file, margin + bar_height * static_cast<double>(bars.size()), title);
  auto y = margin - bar_height;
  for (const auto& [label, length] : bars) {
    y += bar_height;
    auto drawn = length / most * (width - label_width - margin);
    text_at(file, 10, y + bar_height / 2, label);
    file << "<rect x='" << label_width << "' y='" << y << "' width='" << drawn << "' height='"
         << bar_height - 6 << "' fill='#4878a8'/>\n";
    text_at(file, label_width + drawn + 4, y + bar_height / 2, std::to_string(length).substr(0, 6));
  }
  file << "</svg>\n";
}

}  // namespace birchlever::performance

/// Pictures of measurements, as SVG.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace birchlever::performance {

/// Named points of one line.
struct picture_line {
  std::string name_;
  std::vector<std::pair<double, double>> points_;
};

/// Draws lines over common axes that begin at zero. Nothing is written without a folder.
auto draw_lines(const std::string& folder, const std::string& name, const std::string& title,
                const std::vector<picture_line>& lines) -> void;

/// Draws one bar a name.
auto draw_bars(const std::string& folder, const std::string& name, const std::string& title,
               const std::vector<std::pair<std::string, double>>& bars) -> void;

}  // namespace birchlever::performance

#include "birchlever_daemon/settings_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace birchlever {
namespace {

/// The lines that a check of completeness looks at.
struct file_lines {
  std::string first_;
  std::string last_;  ///< Of those that are not empty.
  bool has_setting_ = false;
};

auto lines_of(const std::string& text) -> file_lines {
  auto lines = file_lines{};
  auto input = std::istringstream{text};
  for (auto line = std::string{}; std::getline(input, line);) {
    if (line.empty()) {
      continue;
    }
    lines.first_ = lines.first_.empty() ? line : lines.first_;
    lines.has_setting_ = lines.has_setting_ || line.front() != '#';
    lines.last_ = std::move(line);
  }
  return lines;
}

}  // namespace

auto read_settings_file(const std::string& file) -> result<std::string> {
  auto stream = std::ifstream{file};
  if (!stream) {
    return error{error_code::settings_incomplete,
                 "settings file " + file + " can't be read: " + std::strerror(errno)};
  }
  auto text = std::string{std::istreambuf_iterator<char>{stream}, {}};
  auto lines = lines_of(text);
  if (!lines.has_setting_) {
    return error{error_code::settings_incomplete, "settings file " + file + " holds no setting"};
  }
  if (lines.first_ == opening_line && lines.last_ != closing_line) {
    return error{error_code::settings_incomplete, "settings file " + file + " ends after '" + lines.last_ +
                                                      "' instead of '" + closing_line + "'"};
  }
  return text;
}

}  // namespace birchlever

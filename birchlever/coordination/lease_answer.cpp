#include "birchlever/coordination/lease_answer.h"

#include <algorithm>
#include <array>

namespace birchlever {
namespace {

constexpr auto names =
    std::array<std::string_view, 5>{"unresolved", "unused", "in_use", "transferred", "lost"};

}  // namespace

auto name_of(lease_state state) -> std::string_view {
  return names.at(static_cast<std::size_t>(state));
}

auto encode(const lease_answer& answer) -> std::string {
  return std::string{name_of(answer.state_)} + "\n" + answer.recipient_;
}

auto decode_lease_answer(std::string_view text) -> lease_answer {
  auto line_end = text.find('\n');
  const auto* found = std::find(names.begin(), names.end(), text.substr(0, line_end));
  if (line_end == std::string_view::npos || found == names.end()) {
    return {};
  }
  return {static_cast<lease_state>(found - names.begin()), std::string{text.substr(line_end + 1)}};
}

}  // namespace birchlever

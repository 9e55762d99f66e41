#include "birchlever/upstream/hall_regions.h"

#include <sstream>

namespace birchlever {

auto hall_regions::parse(const std::string& text) -> result<hall_regions> {
  auto parsed = hall_regions{};
  auto items = std::istringstream{text};
  auto item = std::string{};
  while (std::getline(items, item, ',')) {
    auto separator = item.find('=');
    auto valid = separator != std::string::npos && separator > 0 && separator + 1 < item.size();
    if (!valid || !parsed.regions_.emplace(item.substr(0, separator), item.substr(separator + 1)).second) {
      return error{error_code::invalid_setting,
                   "expected HALL=REGION with each hall listed once, got '" + item + "'"};
    }
  }
  return parsed;
}

auto hall_regions::region_of(const std::string& hall) const -> std::string {
  auto found = regions_.find(hall);
  return found == regions_.end() ? std::string{} : found->second;
}

auto region_constraint::add(const std::vector<std::string>& allowed) -> void {
  if (allowed.empty()) {
    return;
  }
  auto added = std::set<std::string>{};
  for (const auto& region : allowed) {
    if (!constrained_ || allowed_.count(region) != 0) {
      added.insert(region);
    }
  }
  constrained_ = true;
  allowed_ = std::move(added);
}

auto region_constraint::allow(const std::string& region) const -> bool {
  return !constrained_ || allowed_.count(region) != 0;
}

}  // namespace birchlever

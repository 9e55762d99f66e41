#include "birchlever/operators/row_filter.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using nlohmann::json;

auto text_of(const json& field) -> std::string {
  return field.is_string() ? field.get<std::string>() : field.dump();
}

/// Less than zero, zero or more than zero, as the field stands to the value.
auto compare_to(const json& field, const std::string& wanted) -> int {
  auto* end = static_cast<char*>(nullptr);
  auto number = std::strtod(wanted.c_str(), &end);
  auto numeric = field.is_number() && end != wanted.c_str() && *end == '\0';
  if (numeric) {
    auto mine = field.get<double>();
    return mine < number ? -1 : (mine > number ? 1 : 0);
  }
  return text_of(field).compare(wanted);
}

auto fits(const json& row, const row_condition& condition) -> bool {
  if (!row.contains(condition.field_)) {
    return condition.operator_ == comparison::not_equal;
  }
  const auto& field = row[condition.field_];
  auto order = compare_to(field, condition.value_);
  switch (condition.operator_) {
    case comparison::equal:
      return order == 0;
    case comparison::not_equal:
      return order != 0;
    case comparison::less:
      return order < 0;
    case comparison::less_or_equal:
      return order <= 0;
    case comparison::greater:
      return order > 0;
    case comparison::greater_or_equal:
      return order >= 0;
    case comparison::contains:
      return text_of(field).find(condition.value_) != std::string::npos;
  }
  return false;
}

}  // namespace

auto keep_matching(json& rows, const std::vector<row_condition>& conditions) -> void {
  auto kept = json::array();
  for (auto& row : rows) {
    auto good = std::all_of(conditions.begin(), conditions.end(),
                            [&row](const row_condition& condition) { return fits(row, condition); });
    if (good) {
      kept.push_back(std::move(row));
    }
  }
  rows = std::move(kept);
}

auto order_and_limit(json& rows, const statement& parsed) -> void {
  if (!parsed.order_field_.empty()) {
    auto key = [&parsed](const json& row) { return row.value(parsed.order_field_, json{}); };
    std::stable_sort(rows.begin(), rows.end(), [&](const json& left, const json& right) {
      return parsed.descending_ ? key(right) < key(left) : key(left) < key(right);
    });
  }
  auto limit = static_cast<std::size_t>(std::max<std::int64_t>(0, parsed.number_));
  if (limit > 0 && rows.size() > limit) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(limit), rows.end());
  }
}

}  // namespace birchlever

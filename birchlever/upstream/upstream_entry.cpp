#include "birchlever/upstream/upstream_entry.h"

#include <sstream>

namespace birchlever {
namespace {

constexpr auto incarnation_separator = '@';  // Separates the id from the start time.

}  // namespace

auto comparison_key(const upstream_entry& entry) -> std::string {
  auto text = std::ostringstream{};
  text << entry.id_ << '|' << entry.service_ << '|' << entry.address_ << '|' << entry.data_hall_ << '|'
       << entry.slots_ << '|' << entry.leaving_ << '|' << entry.born_ << '|' << (entry.cold_left_ > 0);
  for (const auto& model : entry.models_) {
    text << '|' << model;
  }
  return text.str();
}

auto incarnation_of(const upstream_entry& entry) -> std::string {
  return entry.born_ == 0 ? entry.id_ : entry.id_ + incarnation_separator + std::to_string(entry.born_);
}

auto id_of_incarnation(std::string_view incarnation) -> std::string {
  return std::string{incarnation.substr(0, incarnation.rfind(incarnation_separator))};
}

}  // namespace birchlever

#include "birchlever/controllers/change_log.h"

namespace birchlever {
namespace {

constexpr auto max_changes = std::size_t{4096};  // Thousands of upstreams may change state at once.

}  // namespace

auto change_log::start_scan() -> void {
  comparison_keys_.clear();
  changes_.clear();
  known_from_ = 0;
  version_ = 0;
}

auto change_log::add_page(const std::vector<stored_row>& rows) -> void {
  for (const auto& row : rows) {
    comparison_keys_[row.key_.key_] = comparison_key_(row);
  }
}

auto change_log::finish_scan(std::int64_t version) -> void {
  known_from_ = version;
  version_ = version;
}

auto change_log::reset(const std::vector<stored_row>& rows, std::int64_t version) -> void {
  start_scan();
  add_page(rows);
  finish_scan(version);
}

auto change_log::apply(const std::vector<stored_row>& changed, std::int64_t version)
    -> std::vector<stored_row> {
  auto effective = std::vector<stored_row>{};
  for (const auto& row : changed) {
    auto known = comparison_keys_.find(row.key_.key_);
    auto comparison_key = row.removed_ ? 0 : comparison_key_(row);
    auto unchanged = row.removed_ ? known == comparison_keys_.end()
                                  : known != comparison_keys_.end() && known->second == comparison_key;
    if (unchanged) {
      continue;
    }
    if (row.removed_) {
      comparison_keys_.erase(known);
    } else {
      comparison_keys_[row.key_.key_] = comparison_key;
    }
    changes_.push_back(row);
    changes_.back().value_ = packed(row);
    if (row.version_ == 0) {
      changes_.back().version_ = version;  // A removed row may have no version.
    }
    effective.push_back(changes_.back());
  }
  while (changes_.size() > max_changes) {
    known_from_ = changes_.front().version_;
    changes_.pop_front();
  }
  version_ = version;
  return effective;
}

auto change_log::packed(const stored_row& row) const -> std::string {
  return pack_ && !row.removed_ ? pack_(row) : row.value_;
}

auto change_log::since(std::int64_t version) const -> std::optional<std::vector<stored_row>> {
  if (version < known_from_) {
    return std::nullopt;
  }
  auto later = std::vector<stored_row>{};
  for (const auto& row : changes_) {
    if (row.version_ > version) {
      later.push_back(row);
    }
  }
  return later;
}

}  // namespace birchlever

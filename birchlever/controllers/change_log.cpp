#include "birchlever/controllers/change_log.h"

namespace birchlever {
namespace {

constexpr auto most_changes =
    std::size_t{4096};  // Of thousands of upstreams a third may change state at once.

}  // namespace

auto change_log::begin() -> void {
  told_.clear();
  changes_.clear();
  known_from_ = 0;
  version_ = 0;
}

auto change_log::add(const std::vector<stored_row>& rows) -> void {
  for (const auto& row : rows) {
    told_[row.key_.key_] = meaning_(row);
  }
}

auto change_log::end(std::int64_t version) -> void {
  known_from_ = version;
  version_ = version;
}

auto change_log::reset(const std::vector<stored_row>& rows, std::int64_t version) -> void {
  begin();
  add(rows);
  end(version);
}

auto change_log::take(const std::vector<stored_row>& changed, std::int64_t version)
    -> std::vector<stored_row> {
  auto taken = std::vector<stored_row>{};
  for (const auto& row : changed) {
    auto told = told_.find(row.key_.key_);
    auto meaning = row.removed_ ? 0 : meaning_(row);
    auto same = row.removed_ ? told == told_.end() : told != told_.end() && told->second == meaning;
    if (same) {
      continue;
    }
    if (row.removed_) {
      told_.erase(told);
    } else {
      told_[row.key_.key_] = meaning;
    }
    changes_.push_back(row);
    changes_.back().value_ = packed(row);
    if (row.version_ == 0) {
      changes_.back().version_ = version;  // A removed row need not say when.
    }
    taken.push_back(changes_.back());
  }
  while (changes_.size() > most_changes) {
    known_from_ = changes_.front().version_;
    changes_.pop_front();
  }
  version_ = version;
  return taken;
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

/// The latest changes of a table that mean something, for daemons that follow it through this one. Upstreams
/// write a heartbeat each second or so that changes nothing for anybody who chooses among them; 273 of them
/// make 227 changes a second, of which a few in a minute matter.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// A function of the rows that it is given; no network.
class change_log {
 public:
  /// A digest of what matters of a row's content. Rows with the same digest are taken for the same.
  using meaning_function = std::function<std::uint64_t(const stored_row&)>;

  /// Makes a row's content shorter without changing how it is read; what is short already stays.
  using pack_function = std::function<std::string(const stored_row&)>;

  explicit change_log(meaning_function meaning, pack_function pack = nullptr)
      : meaning_{std::move(meaning)}, pack_{std::move(pack)} {}

  /// The table is told anew, page by page: nothing is known until its end.
  auto begin() -> void;

  /// A page of it.
  auto add(const std::vector<stored_row>& rows) -> void;

  /// All was told, as of a version. Changes before it are not known.
  auto end(std::int64_t version) -> void;

  /// All three at once.
  auto reset(const std::vector<stored_row>& rows, std::int64_t version) -> void;

  /// Rows that changed, in order, and the version up to which all are named. Yields those that mean
  /// something.
  auto take(const std::vector<stored_row>& changed, std::int64_t version) -> std::vector<stored_row>;

  /// The changes after a version; none when that lies before what is known.
  [[nodiscard]] auto since(std::int64_t version) const -> std::optional<std::vector<stored_row>>;

  /// Up to which all is known; 0 before the first reset.
  [[nodiscard]] auto version() const -> std::int64_t { return version_; }

  /// The version of the last change that means something.
  [[nodiscard]] auto last_change() const -> std::int64_t {
    return changes_.empty() ? known_from_ : changes_.back().version_;
  }

 private:
  [[nodiscard]] auto packed(const stored_row& row) const -> std::string;

  meaning_function meaning_;
  pack_function pack_;
  std::unordered_map<std::string, std::uint64_t> told_;  ///< What each row means, by key.
  std::deque<stored_row> changes_;
  std::int64_t known_from_ = 0;
  std::int64_t version_ = 0;
};

}  // namespace birchlever

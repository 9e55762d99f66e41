/// Recent effective changes of a table, kept by a follower for the daemons that read the table through it.
/// Rows whose comparison key is unchanged, such as heartbeats, are left out: 273 upstreams write 227 rows a
/// second, of which a few a minute matter.
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

/// Has no I/O; depends only on the rows it is given.
class change_log {
 public:
  /// Returns a digest of the relevant part of a row's content. Rows with equal digests are considered equal.
  using comparison_key_function = std::function<std::uint64_t(const stored_row&)>;

  /// Returns a shorter encoding of a row's content that decodes to the same value.
  using pack_function = std::function<std::string(const stored_row&)>;

  explicit change_log(comparison_key_function comparison_key, pack_function pack = nullptr)
      : comparison_key_{std::move(comparison_key)}, pack_{std::move(pack)} {}

  /// Starts a new scan of the table. All earlier changes are discarded.
  auto start_scan() -> void;

  /// Adds one page of the scan.
  auto add_page(const std::vector<stored_row>& rows) -> void;

  /// Finishes the scan, which reflects the given version. Changes before it are unknown.
  auto finish_scan(std::int64_t version) -> void;

  /// Replaces the content with a complete scan.
  auto reset(const std::vector<stored_row>& rows, std::int64_t version) -> void;

  /// Adds changed rows, in order; `version` is the version up to which the changes are complete. Returns the
  /// effective changes.
  auto apply(const std::vector<stored_row>& changed, std::int64_t version) -> std::vector<stored_row>;

  /// Returns the changes after a version, or none if that version is older than the log.
  [[nodiscard]] auto since(std::int64_t version) const -> std::optional<std::vector<stored_row>>;

  /// Returns the version up to which changes are known; 0 before the first scan has finished.
  [[nodiscard]] auto version() const -> std::int64_t { return version_; }

  /// Returns the version of the last effective change.
  [[nodiscard]] auto last_change() const -> std::int64_t {
    return changes_.empty() ? known_from_ : changes_.back().version_;
  }

 private:
  [[nodiscard]] auto packed(const stored_row& row) const -> std::string;

  comparison_key_function comparison_key_;
  pack_function pack_;
  std::unordered_map<std::string, std::uint64_t> comparison_keys_;  ///< By row key.
  std::deque<stored_row> changes_;
  std::int64_t known_from_ = 0;
  std::int64_t version_ = 0;
};

}  // namespace birchlever

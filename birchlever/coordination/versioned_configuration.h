/// A configuration document shared by the fleet. Changed by compare-and-set on its generation; a process
/// never applies a lower generation than its current one.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// A generation of the document.
struct configuration_generation {
  std::int64_t generation_ = 0;
  std::string text_;
  std::string author_;
};

/// The view of one process on the document. Thread safe.
class versioned_configuration {
 public:
  /// Creates an empty view. It is up to date for `max_age` ms after a read of the store. Failures:
  /// invalid_setting.
  static auto create(std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock,
                     milliseconds max_age) -> result<std::shared_ptr<versioned_configuration>>;

  /// Returns the key of the row that names the current generation.
  static auto row_key() -> std::string { return "control/configuration"; }

  /// Applies the row as returned by a read that started at the given time. The row only names the newest
  /// generation, to keep polls small; the document is read once from the generation's own row. While that
  /// read fails, the view is not up to date. Returns true if the generation increased. Blocks on the store.
  auto observe(const std::optional<table_row>& row, milliseconds read_started) -> bool;

  /// Records a generation that another process has seen. Returns true if it is newer than the current one, so
  /// that the store should be read.
  auto record_seen(std::int64_t generation) -> bool;

  /// Proposes the successor of the expected generation and returns its number. A lost response of the store
  /// is resolved by reading the generation's own row. Blocks on the store. Failures: configuration_conflict
  /// (names the winner), not_ready (before the first read), store_unknown, other failures of the store.
  auto propose(std::int64_t expected, const std::string& text, const std::string& author)
      -> result<std::int64_t>;

  /// Returns the newest generation known; generation 0 before the first proposal.
  [[nodiscard]] auto current() const -> configuration_generation;

  /// Returns the number of the newest generation known.
  [[nodiscard]] auto generation() const -> std::int64_t;

  /// Returns true if the store was read within the maximum age and no newer generation was seen.
  [[nodiscard]] auto is_up_to_date() const -> bool;

 private:
  versioned_configuration(std::shared_ptr<table_store_interface> store,
                          std::shared_ptr<clock_interface> clock, milliseconds max_age);

  auto apply(const configuration_generation& next, std::int64_t row_version) -> void;
  auto resolve(std::int64_t proposed, const std::string& write_id) -> result<std::int64_t>;
  auto conflict() -> error;

  std::shared_ptr<table_store_interface> store_;
  std::shared_ptr<clock_interface> clock_;
  milliseconds max_age_ = 0;
  mutable std::mutex mutex_;
  configuration_generation current_;
  std::int64_t row_version_ = 0;
  std::int64_t max_seen_ = 0;
  std::optional<milliseconds> last_read_;
};

}  // namespace birchlever

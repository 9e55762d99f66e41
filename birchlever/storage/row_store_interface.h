/// Asynchronous interface of the platform's table service: partitioned tables with a change feed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Identifies a row. A transaction can change rows of one partition only.
struct row_key {
  std::string table_;
  std::string partition_;
  std::string key_;
};

/// A stored row with the version of the transaction that wrote it. `removed_` marks a deletion in the change
/// feed.
struct stored_row {
  row_key key_;
  std::string value_;
  std::int64_t version_ = 0;
  bool removed_ = false;
};

/// Requires a row to have a version for a transaction to commit; 0 requires it to be absent.
struct version_condition {
  row_key key_;
  std::int64_t version_ = 0;
};

/// Priority of a write by its purpose, highest first.
enum class write_priority { ends_turn, continues_program, starts_program, overdue_program, cleanup };

/// Number of write priorities.
inline constexpr auto write_priority_count = std::size_t{5};

/// An atomic, conditional change of rows of one partition.
struct row_transaction {
  std::vector<version_condition> conditions_;
  std::vector<stored_row> puts_;  ///< Versions are ignored.
  std::vector<row_key> removals_;
  write_priority priority_ = write_priority::cleanup;
};

/// Limits of one transaction.
struct transaction_limits {
  std::size_t entries_ = 100;      ///< Conditions, puts and removals together.
  std::size_t bytes_ = 1'000'000;  ///< Of the encoded transaction, with values in base64.
};

/// Return a size in bytes that the encoded part of a transaction does not exceed.
[[nodiscard]] auto max_encoded_size(const row_key& key) -> std::size_t;
[[nodiscard]] auto max_encoded_size(const stored_row& put) -> std::size_t;
[[nodiscard]] auto max_encoded_size(const row_transaction& transaction) -> std::size_t;

/// Likewise for a value of this many bytes, without its key.
[[nodiscard]] auto max_encoded_size(std::size_t value_bytes) -> std::size_t;

/// The outcome of a transaction that the store processed.
struct commit_outcome {
  bool committed_ = false;
  std::int64_t version_ = 0;           ///< Version of every row that was put.
  std::vector<stored_row> conflicts_;  ///< If not committed, the current rows of the conditions.
  milliseconds store_time_ = 0;        ///< Time of the store's monotonic clock.
};

/// A consistent page of rows.
struct row_page {
  std::vector<stored_row> rows_;
  bool more_ = false;
  std::int64_t version_ = 0;  ///< Newest store version that the page reflects.
  milliseconds store_time_ = 0;
};

/// A range of keys to read: from `from_`, inclusive, to `until_`, exclusive, or to the end if it is empty.
struct row_range {
  std::string table_;
  std::string partition_;
  std::string from_;
  std::string until_;
  int limit_ = 500;
};

/// A table service with conditional transactions. Calls fail with store_unavailable (not applied),
/// store_unknown (no response; the call may have been applied, or be applied later if its conditions still
/// hold) or store_rejected (the store will not take the call as it is; not applied).
class row_store_interface {
 public:
  virtual ~row_store_interface() = default;

  /// Returns false while calls to the store are expected to fail.
  [[nodiscard]] virtual auto reachable() const -> bool = 0;

  /// Waits up to `limit` ms until the store is reachable. Returns whether it is.
  virtual auto wait_until_reachable(milliseconds limit) -> task<bool> = 0;

  /// Returns the expected remaining time in ms of the current outage of the store; 0 while there is none or
  /// if no estimate is made.
  [[nodiscard]] virtual auto expected_outage_left() const -> milliseconds { return 0; }

  /// Returns how long in ms a write of this priority would wait for the shared rate limit before it is sent.
  [[nodiscard]] virtual auto expected_write_wait(write_priority /*priority*/) const -> milliseconds {
    return 0;
  }

  /// Returns the limits beyond which the store rejects a transaction.
  [[nodiscard]] virtual auto limits() const -> transaction_limits { return {}; }

  /// Applies a transaction within `time_left` ms.
  virtual auto commit(row_transaction transaction, milliseconds time_left)
      -> task<result<commit_outcome>> = 0;

  /// Reads one page of rows within `time_left` ms.
  virtual auto read(row_range range, milliseconds time_left) -> task<result<row_page>> = 0;

  /// Waits up to `wait` ms for changes of a table after a version. Also fails with store_conflict if the
  /// store no longer has the history since that version; the caller must rescan the table.
  virtual auto changes(std::string table, std::int64_t after, milliseconds wait)
      -> task<result<row_page>> = 0;

  /// Returns up to 1,000 partitions of a table that sort after the given one, in order.
  virtual auto partitions(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> = 0;
};

/// Reads all pages of a range, each within `page_limit` ms and all within `time_left` ms. The returned
/// version is the oldest of all pages. Failures: those of row_store_interface::read.
auto read_all(row_store_interface& rows, row_range range, milliseconds page_limit, milliseconds time_left)
    -> task<result<row_page>>;

}  // namespace birchlever

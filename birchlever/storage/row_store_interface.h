/// The platform's table service as the event loop uses it: rows in parts of tables, and a feed of changes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Names a row. Rows of one part can be changed in one transaction.
struct row_key {
  std::string table_;
  std::string part_;
  std::string key_;
};

/// A row as stored. The version is that of the transaction that wrote it; `removed_` marks a row that the
/// feed tells as gone.
struct stored_row {
  row_key key_;
  std::string value_;
  std::int64_t version_ = 0;
  bool removed_ = false;
};

/// The row must have this version for the transaction to commit; 0 means absent.
struct version_condition {
  row_key key_;
  std::int64_t version_ = 0;
};

/// What a write is for, the most urgent first.
enum class write_rank { ends_turn, continues_program, begins_program, late_program, cleans_up };

/// How many ranks there are.
inline constexpr auto write_ranks = std::size_t{5};

/// All conditions hold and all changes are made, or nothing is. All keys share one part.
struct row_transaction {
  std::vector<version_condition> conditions_;
  std::vector<stored_row> puts_;  ///< Versions are ignored.
  std::vector<row_key> removals_;
  write_rank rank_ = write_rank::cleans_up;
};

/// What a transaction that was answered did.
struct commit_outcome {
  bool committed_ = false;
  std::int64_t version_ = 0;           ///< Given to every row that was put.
  std::vector<stored_row> conflicts_;  ///< When not committed: the rows of the conditions as they stand.
  milliseconds store_now_ = 0;         ///< The store's own steady clock.
};

/// Rows as of one moment.
struct row_page {
  std::vector<stored_row> rows_;
  bool more_ = false;
  std::int64_t version_ = 0;  ///< Newest version of the store that the page reflects.
  milliseconds store_now_ = 0;
};

/// Which rows to read: keys from `from_` on, before `until_` when that is not empty.
struct row_range {
  std::string table_;
  std::string part_;
  std::string from_;
  std::string until_;
  int limit_ = 500;
};

/// A table service with conditional transactions. Failures of all calls: store_unavailable (nothing was
/// done), store_unknown (no answer: it may have been done, or be done seconds later, if its conditions still
/// hold), internal (the store refused the call as wrong).
class row_store_interface {
 public:
  virtual ~row_store_interface() = default;

  /// False while the store answers nobody here: tries would only add to the calls that fail.
  [[nodiscard]] virtual auto reachable() const -> bool = 0;

  /// Waits until the store answers again, at most so long. True when it does.
  virtual auto wait_until_reachable(milliseconds limit) -> task<bool> = 0;

  /// How long a write of this rank would wait, in ms, before it could be sent: the store's rate is shared.
  [[nodiscard]] virtual auto expected_write_wait(write_rank /*rank*/) const -> milliseconds { return 0; }

  /// Applies a transaction within the time given.
  virtual auto commit(row_transaction transaction, milliseconds time_left)
      -> task<result<commit_outcome>> = 0;

  /// Reads one page of rows.
  virtual auto read(row_range range, milliseconds time_left) -> task<result<row_page>> = 0;

  /// Waits up to `wait` ms for changes of a table after a version. Failures beside the common ones:
  /// store_conflict when the store has forgotten the history since then; scan anew.
  virtual auto changes(std::string table, std::int64_t after, milliseconds wait)
      -> task<result<row_page>> = 0;

  /// The parts of a table after the given one, in order, 1,000 at most.
  virtual auto parts(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> = 0;
};

/// Reads all pages of a range, each within `page_limit` and all within `time_left` ms. The version is the
/// oldest that a page reflects. Failures: those of read.
auto read_all(row_store_interface& rows, row_range range, milliseconds page_limit, milliseconds time_left)
    -> task<result<row_page>>;

}  // namespace birchlever

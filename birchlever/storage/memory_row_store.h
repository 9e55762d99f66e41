/// A table service in memory with the faults of a real one, for tests and for embedding without a platform.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// What the store does wrong while it is set.
struct row_store_faults {
  bool down_ = false;     ///< Every call fails with store_unavailable, nothing done.
  int lose_answers_ = 0;  ///< So many next commits are done, and their answers lost.
  int lose_calls_ = 0;    ///< So many next commits are not done, and not answered either.
  int late_commits_ = 0;  ///< So many next commits are answered as unknown and done after `late_ms_`.
  milliseconds late_ms_ = 50;
  bool history_gone_ = false;  ///< The next look at the feed fails with store_conflict.
};

/// For coroutines of one loop.
class memory_row_store final : public row_store_interface {
 public:
  explicit memory_row_store(event_loop& loop) : loop_{&loop}, changed_{loop} {}

  [[nodiscard]] auto reachable() const -> bool override { return !faults_.down_; }
  auto wait_until_reachable(milliseconds limit) -> task<bool> override;
  auto commit(row_transaction transaction, milliseconds time_left) -> task<result<commit_outcome>> override;
  auto read(row_range range, milliseconds time_left) -> task<result<row_page>> override;
  auto changes(std::string table, std::int64_t after, milliseconds wait) -> task<result<row_page>> override;
  auto parts(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> override;

  /// Writes a row without a condition, as another party would.
  auto put(const row_key& key, const std::string& value) -> void;

  /// Removes a row, as another party would.
  auto remove(const row_key& key) -> void;

  /// The faults in force; tests set them.
  auto faults() -> row_store_faults& { return faults_; }

  /// Commits tried so far.
  [[nodiscard]] auto commits() const -> int { return commits_; }

  /// Rows that stand.
  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

  /// Reads tried so far.
  [[nodiscard]] auto reads() const -> int { return reads_; }

 private:
  using place = std::tuple<std::string, std::string, std::string>;

  auto apply(const row_transaction& transaction) -> commit_outcome;
  auto apply_late(row_transaction transaction, milliseconds delay) -> task<>;

  event_loop* loop_;
  loop_signal changed_;
  row_store_faults faults_;
  steady_clock clock_;
  std::map<place, stored_row> rows_;
  std::deque<stored_row> history_;
  std::int64_t version_ = 0;
  int commits_ = 0;
  int reads_ = 0;
};

}  // namespace birchlever

/// In-memory table service with fault injection, for tests and for embedding without a platform.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Injected faults. Counters give the number of following commits that are affected.
struct row_store_faults {
  bool down_ = false;             ///< Every call fails with store_unavailable and has no effect.
  milliseconds outage_left_ = 0;  ///< Expected remaining time of the outage that is reported while down.
  int lose_answers_ = 0;          ///< Commits that are applied but fail with store_unknown.
  int lose_calls_ = 0;            ///< Commits that are not applied and fail with store_unknown.
  int late_commits_ = 0;          ///< Commits that fail with store_unknown and are applied after `late_ms_`.
  milliseconds late_ms_ = 50;
  bool history_gone_ = false;  ///< The next read of the change feed fails with store_conflict.
};

/// Implements the store for the coroutines of one event loop. Not thread safe.
class memory_row_store final : public row_store_interface {
 public:
  explicit memory_row_store(event_loop& loop) : loop_{&loop}, changed_{loop} {}

  [[nodiscard]] auto reachable() const -> bool override { return !faults_.down_; }
  auto wait_until_reachable(milliseconds limit) -> task<bool> override;
  [[nodiscard]] auto expected_outage_left() const -> milliseconds override {
    return faults_.down_ ? faults_.outage_left_ : 0;
  }
  [[nodiscard]] auto limits() const -> transaction_limits override { return limits_; }
  auto commit(row_transaction transaction, milliseconds time_left) -> task<result<commit_outcome>> override;
  auto read(row_range range, milliseconds time_left) -> task<result<row_page>> override;
  auto changes(std::string table, std::int64_t after, milliseconds wait) -> task<result<row_page>> override;
  auto partitions(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> override;

  /// Writes a row unconditionally, as another client of the store would.
  auto put(const row_key& key, const std::string& value) -> void;

  /// Removes a row unconditionally, as another client of the store would.
  auto remove(const row_key& key) -> void;

  /// Sets the limits that the store reports; it rejects transactions beyond `enforced`.
  auto set_limits(const transaction_limits& reported, const transaction_limits& enforced) -> void {
    limits_ = reported;
    enforced_ = enforced;
  }

  /// Returns the injected faults, for tests to modify.
  auto faults() -> row_store_faults& { return faults_; }

  /// Returns the number of commit calls, including failed ones.
  [[nodiscard]] auto commits() const -> int { return commits_; }

  /// Returns the number of stored rows.
  [[nodiscard]] auto size() const -> std::size_t { return rows_.size(); }

  /// Returns the number of read calls, including failed ones.
  [[nodiscard]] auto reads() const -> int { return reads_; }

 private:
  [[nodiscard]] auto exceeds_limits(const row_transaction& transaction) const -> bool;
  using row_id = std::tuple<std::string, std::string, std::string>;  ///< Table, partition, key.

  auto apply(const row_transaction& transaction) -> commit_outcome;
  auto apply_late(row_transaction transaction, milliseconds delay) -> task<>;

  transaction_limits limits_;
  transaction_limits enforced_;
  event_loop* loop_;
  loop_signal changed_;
  row_store_faults faults_;
  steady_clock clock_;
  std::map<row_id, stored_row> rows_;
  std::deque<stored_row> history_;
  std::int64_t version_ = 0;
  int commits_ = 0;
  int reads_ = 0;
};

}  // namespace birchlever

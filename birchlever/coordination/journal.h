/// The durable log of one shard: group commits fenced by the lease's epoch, snapshots, trimming.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/coordination/journal_record.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// Settings of the journal.
struct journal_settings {
  int scan_page_ = 256;        ///< Rows per scan during recovery.
  int trim_page_ = 200;        ///< Rows deleted per transaction.
  int retry_interval_ms_ = 5;  ///< Delay before the first retry; doubles up to 250 ms. 0 for no delay.
  int attempts_ = 400;         ///< Attempts of one commit before it is reported as unknown.
};

/// Result of a recovery: the newest snapshot and the records after it.
struct journal_recovery {
  std::string snapshot_;
  std::vector<journal_record> records_;
  std::int64_t rows_ = 0;   ///< Journal rows read.
  std::int64_t reads_ = 0;  ///< Store reads made.
};

/// Location of a call's answer within a segment object.
struct moved_answer {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int64_t offset_ = 0;
  std::int64_t length_ = 0;
};

/// A snapshot to write: the state after a sequence number, and the answers moved out of it.
struct journal_snapshot {
  std::int64_t sequence_ = 0;
  std::string state_;
  std::string segment_key_;  ///< Key of the object that receives the moved answers; empty if there are none.
  std::string segment_;
  std::vector<moved_answer> moved_;         ///< Answers stored in the segment.
  std::vector<std::string> dead_segments_;  ///< Objects that no live program references.
};

/// The journal of one shard in one epoch. Not thread safe: owned by a single writer. Calls block on the
/// store.
class journal {
 public:
  /// Returns true while a commit with unknown outcome should be retried.
  using retry_predicate = std::function<bool()>;

  /// Creates a journal that writes in the epoch whose fence row has the given version. Failures:
  /// invalid_setting.
  static auto create(const journal_settings& settings, int shard, std::int64_t fence_version,
                     std::shared_ptr<table_store_interface> store) -> result<journal>;

  /// Reads the durable state. Call once, after the lease was acquired and before the first commit.
  auto recover() -> result<journal_recovery>;

  /// Writes all records as one row and returns its sequence number. A lost response is resolved by repeating
  /// the same put-if-absent. Failures: lease_lost (another epoch writes), store_unknown.
  auto commit(const std::vector<journal_record>& records, const retry_predicate& should_retry)
      -> result<std::int64_t>;

  /// Writes a snapshot and trims the rows it covers.
  auto write_snapshot(const journal_snapshot& snapshot) -> status;

  /// Returns the sequence number of the last row known to be durable.
  [[nodiscard]] auto last_sequence() const -> std::int64_t { return last_sequence_; }

 private:
  journal(const journal_settings& settings, int shard, std::int64_t fence_version,
          std::shared_ptr<table_store_interface> store);

  [[nodiscard]] auto row_prefix() const -> std::string;
  [[nodiscard]] auto row_key(std::int64_t sequence) const -> std::string;
  [[nodiscard]] auto pointer_key() const -> std::string;
  auto resolve_conflict(const std::string& key, const std::string& write_id) -> status;
  auto trim(std::int64_t through) -> void;

  journal_settings settings_;
  int shard_ = 0;
  std::int64_t fence_version_ = 0;
  std::shared_ptr<table_store_interface> store_;
  std::int64_t last_sequence_ = 0;
  std::int64_t trimmed_through_ = 0;
  std::string snapshot_object_;
};

}  // namespace birchlever

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

/// How the journal writes.
struct journal_settings {
  int scan_page_ = 256;   ///< Rows read at once during recovery.
  int trim_page_ = 200;   ///< Rows deleted by one write.
  int retry_gap_ms_ = 5;  ///< First pause between tries; doubles up to 250 ms. Zero never pauses.
  int attempts_ = 400;    ///< Tries of one commit before it is reported as unknown.
};

/// What recovery found: the newest snapshot and the records after it.
struct journal_recovery {
  std::string snapshot_;
  std::vector<journal_record> records_;
  std::int64_t rows_ = 0;   ///< Journal rows read.
  std::int64_t reads_ = 0;  ///< Store reads it took.
};

/// Where a call's answer lies within a segment object.
struct moved_answer {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int64_t offset_ = 0;
  std::int64_t length_ = 0;
};

/// A snapshot ready to be written: the state after a sequence number, and the answers moved out of it.
struct journal_snapshot {
  std::int64_t sequence_ = 0;
  std::string state_;
  std::string segment_key_;  ///< Object that takes the moved answers; empty when none moved.
  std::string segment_;
  std::vector<moved_answer> moved_;         ///< Answers that the segment now holds.
  std::vector<std::string> dead_segments_;  ///< Objects that no live program refers to any more.
};

/// One shard's journal under one epoch. Not thread safe: one writer owns it. Calls block on the store.
class journal {
 public:
  /// Decides whether a commit whose outcome is open is still worth repeating.
  using keep_trying = std::function<bool()>;

  /// A journal that writes under the epoch whose fence row has the given version.
  static auto create(const journal_settings& settings, int shard, std::int64_t fence_version,
                     std::shared_ptr<table_store_interface> store) -> result<journal>;

  /// Reads everything durable. Call once, after the lease was taken and before the first commit.
  auto recover() -> result<journal_recovery>;

  /// Writes one row with all the records and returns its sequence number. A lost answer is resolved by
  /// repeating the same put-if-absent. Failures: lease_lost (another epoch writes now), store_unknown.
  auto commit(const std::vector<journal_record>& records, const keep_trying& keep) -> result<std::int64_t>;

  /// Writes a snapshot and trims the rows it covers.
  auto write_snapshot(const journal_snapshot& snapshot) -> status;

  /// The sequence number of the last row known to be durable.
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

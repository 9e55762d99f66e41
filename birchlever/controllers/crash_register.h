/// The crash history that all daemons share: rows of a store table that each daemon follows, and messages to
/// peers, which are faster and work while the store does not.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "birchlever/controllers/table_follower.h"
#include "birchlever/coordination/crash_history.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Settings of crash_register. Times in ms.
struct crash_register_settings {
  std::string table_ = "crashes";
  milliseconds poll_wait_ = 5000;    ///< Time for which the store holds a poll of the table.
  milliseconds record_limit_ = 400;  ///< Time for which `record` waits for the store.
  /// Minimum duration of `record` with record_wait::spread. Within it, the message to peers and the store's
  /// change feed reach all daemons, before the caller learns of the failure and repeats the request.
  milliseconds spread_time_ = 60;
  milliseconds commit_limit_ = 1000;
  milliseconds retry_interval_ = 200;  ///< Interval between two writes while the store fails.
  milliseconds drop_after_ = 30'000;   ///< Records that could not be written for this long are not stored.
  milliseconds sweep_interval_ = 500;  ///< Interval between two searches for expired and missing rows.
  /// Time after which a known crash that the store does not have is written by the owner of its fingerprint,
  /// and by any daemon. The daemon that saw it may have ended before the store took its record.
  milliseconds repair_after_ = 1000;
  milliseconds repair_by_any_after_ = 4000;
  /// Rows from which on daemons add no more: while upstreams end all the time, each request leaves some.
  std::size_t max_rows_ = 8192;
  std::size_t max_introduced_ = 512;  ///< Records that a daemon tells a peer that has started.
  crash_history_settings history_;
};

/// How long `crash_register::record` takes at least.
enum class record_wait {
  store,  ///< Until the store acknowledged the record.
  spread  ///< Also until all daemons know of it: the caller may repeat the request then. Always for crashes.
};

/// Used by coroutines of one event loop.
class crash_register : public std::enable_shared_from_this<crash_register> {
 public:
  /// Returns true if this daemon removes the expired rows of a fingerprint.
  using owner_function = std::function<bool(const std::string& fingerprint)>;

  /// Sends a record to peers.
  using publish_function = std::function<void(const send_record&)>;

  /// Creates the register and starts to follow its table.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const crash_register_settings& settings, owner_function owns)
      -> std::shared_ptr<crash_register>;

  [[nodiscard]] auto history() const -> const crash_history& { return history_; }

  /// Returns the number of rows in the table, as far as known.
  [[nodiscard]] auto stored_rows() const -> std::size_t { return stored_rows_.size(); }

  /// Returns true once the table was read.
  [[nodiscard]] auto primed() const -> bool { return follower_->primed(); }

  /// Sets the callback that sends records to peers.
  auto on_publish(publish_function callback) -> void { publish_ = std::move(callback); }

  /// Applies a record of a peer.
  auto apply_peer_record(const send_record& record) -> void;

  /// Returns what a peer that has started should know: the store may miss some of it.
  [[nodiscard]] auto known_records() const -> std::vector<send_record>;

  /// Records an open send or a crash, here at once, then with peers and in the store. Returns true if the
  /// store acknowledged it within the limit; it is written later otherwise.
  auto record(send_record record, record_wait wait = record_wait::store) -> task<bool>;

  /// Likewise for several records.
  auto record_all(std::vector<send_record> records, record_wait wait = record_wait::store) -> task<bool>;

  /// Records an open send here and with peers only.
  auto announce(const send_record& record) -> void;

  /// Removes an open send whose upstream did not end. Returns true if it was known.
  auto settle(const std::string& fingerprint, const std::string& upstream) -> bool;

  /// Records that a piece of work, or a request of some content, was served.
  auto conclude_served(const std::string& fingerprint) -> void;

 private:
  /// A change of the table that was not written yet.
  struct pending_change {
    send_record record_;
    bool removal_ = false;
    milliseconds since_ = 0;
    std::int64_t number_ = 0;  ///< Consecutive.
  };

  crash_register(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                 const crash_register_settings& settings, owner_function owns);

  auto follow() -> void;
  auto apply_rows(const std::vector<stored_row>& rows) -> void;
  /// Returns true if this daemon has removed a row and the store did not acknowledge that yet.
  [[nodiscard]] auto removal_pending(const std::string& key) const -> bool;
  auto finish_scan() -> void;
  auto merge(const send_record& record, const char* source) -> void;
  auto remove(const send_record& record, const char* cause) -> void;
  /// Removes the rows that this daemon wrote for open sends which a peer has seen end.
  auto remove_open_rows(const send_record& ended) -> void;
  /// Removes the row of a record that is no longer in the history, if there is one.
  auto remove_row(const send_record& record) -> void;
  auto log_removed(const send_record& record, const char* cause) const -> void;
  auto publish(const send_record& record) -> void;
  /// Tells peers and the store of all known crashes of a piece of work. Those that learn of its next send may
  /// have missed the earlier ones, as after a restart.
  auto share_crashes(const std::string& fingerprint) -> void;
  /// Returns true if no more rows may be added.
  auto table_full() -> bool;
  /// Appends a change to those to be written. Returns its number.
  auto enqueue(const send_record& record, bool removal) -> std::int64_t;
  /// Waits for the store until a time of the local clock. Returns true if the change was written.
  auto wait_until_written(std::int64_t number, milliseconds give_up_at) -> task<bool>;
  auto write_pending() -> task<>;
  /// Returns the transaction of the first `count` pending changes.
  [[nodiscard]] auto transaction_of(std::size_t count) const -> row_transaction;
  auto remove_pending(std::int64_t last) -> void;
  auto sweep() -> task<>;
  auto forget_expired() -> void;
  /// Removes the rows that have expired, also those of which the history has no record any more.
  auto remove_expired_rows() -> void;
  auto write_missing() -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  crash_register_settings settings_;
  owner_function owns_;
  publish_function publish_;
  crash_history history_;
  steady_clock clock_;
  std::shared_ptr<table_follower> follower_;
  std::map<std::string, milliseconds> stored_rows_;  ///< When this daemon learned of each row, by its key.
  std::set<std::string> scanned_keys_;
  std::set<std::string> open_rows_;  ///< Keys of open sends that this daemon wrote and did not remove.
  std::deque<pending_change> pending_;
  std::int64_t enqueued_ = 0;
  std::int64_t written_ = 0;  ///< All changes up to this number were written or dropped.
  std::int64_t dropped_ = 0;  ///< The last change that was dropped; 0 if none.
  bool writing_ = false;
  bool full_logged_ = false;
  loop_signal written_signal_;
};

}  // namespace birchlever

/// Follows a table of the store: scans it once, then reads its change feed, and scans again if history was
/// lost. Pages of a scan are delivered as they arrive.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Settings of table_follower.
struct table_follower_settings {
  std::string table_;
  milliseconds wait_ = 2000;        ///< ms for which the store holds one long poll of the feed.
  milliseconds scan_limit_ = 1500;  ///< Timeout in ms of one page of a scan.
  /// Rows after which a scan ends early; 0 for no limit. The remaining rows become known when they change.
  std::size_t max_scan_rows_ = 0;
  milliseconds retry_interval_ =
      300;  ///< ms between the starts of attempts while the store does not respond.
  milliseconds stale_retry_interval_ = 200;  ///< ms until a scan older than the known version is repeated.
  milliseconds min_poll_interval_ = 20;      ///< ms between two polls; batches changes in quick succession.

  /// Waits for changes of a table after a version.
  using changes_function = std::function<task<result<row_page>>(std::string table, std::int64_t after)>;
  changes_function changes_;  ///< Replaces the store's own feed, with the same failures; may be empty.
};

/// Returns the wait in ms of long polls with which a change is delivered `bound` ms after it was committed,
/// even if the connection of the poll in progress went silent. `response_grace` is the time in ms after its
/// wait at which a poll without response fails. A bound of 0 sets no limit.
[[nodiscard]] auto poll_wait_within(milliseconds bound, milliseconds response_grace) -> milliseconds;

/// Callbacks with which a table_follower delivers scans and later changes of its table.
struct table_follower_events {
  /// A scan starts: rows that it does not deliver until its end no longer exist.
  std::function<void()> scan_started_;
  /// Rows of one page of a scan.
  std::function<void(const std::vector<stored_row>&)> page_scanned_;
  /// All pages of a scan were delivered; the version is the lowest of all pages.
  std::function<void(std::int64_t)> scan_ended_;
  /// Rows that changed since the last scan or previous call, in the order of the feed.
  std::function<void(const std::vector<stored_row>&)> changes_;
  /// The response to a scan or poll that started at the given time of the local clock was delivered: the rows
  /// known here were current at that time. May be empty.
  std::function<void(milliseconds)> verified_;
};

/// Used by coroutines of one event loop. The delivered versions never decrease.
class table_follower : public std::enable_shared_from_this<table_follower> {
 public:
  /// Creates a follower and starts it.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const table_follower_settings& settings, table_follower_events events)
      -> std::shared_ptr<table_follower>;

  /// Polls the feed once without waiting, independently of a long poll in progress. Returns true if the store
  /// responded.
  auto poll_now() -> task<bool>;

  /// Returns true once a scan was completed.
  [[nodiscard]] auto primed() const -> bool { return primed_; }

  /// Returns true once a page of the first scan was delivered.
  [[nodiscard]] auto first_page_read() const -> bool { return first_page_read_; }

  /// Returns when the store first responded after a failure, on the local clock; 0 if it never failed.
  [[nodiscard]] auto reconnected_at() const -> milliseconds { return reconnected_at_; }

  /// Returns true while the last request failed.
  [[nodiscard]] auto store_unreachable() const -> bool { return store_unreachable_; }

 private:
  table_follower(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                 table_follower_settings settings, table_follower_events events);

  auto follow() -> task<>;
  auto scan() -> task<bool>;
  auto read_page(const row_range& range) -> task<std::optional<row_page>>;
  auto poll(milliseconds wait) -> task<bool>;
  auto record_response() -> void;
  auto notify_verified(milliseconds started_at) -> void;
  auto record_failure(const error& reason, milliseconds started_at) -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  table_follower_settings settings_;
  table_follower_events events_;
  steady_clock clock_;
  std::int64_t version_ = 0;
  milliseconds reconnected_at_ = 0;
  milliseconds failing_since_ = 0;  ///< Start of the first request that failed. Only valid while unreachable.
  std::int64_t failures_ = 0;       ///< Consecutive failed requests.
  bool scan_needed_ = true;
  bool primed_ = false;
  bool first_page_read_ = false;
  bool store_unreachable_ = false;
};

}  // namespace birchlever

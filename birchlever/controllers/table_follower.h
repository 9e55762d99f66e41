/// Follows a table of the store: a scan first, then its feed, and a scan again when history was lost.
/// The pages of a scan are told as they come, so that what has come can be used before the last one has.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// How a table is followed.
struct table_follower_settings {
  std::string table_;
  milliseconds wait_ =
      2000;  ///< ms that one look at the feed is held by the store; a lost one is noticed soon after.
  milliseconds scan_limit_ = 1500;  ///< ms for one page of a scan.
  std::size_t most_scanned_ = 0;    ///< Rows after which a scan ends, though there are more; 0: none. The
                                    ///< others become known as they change.
  milliseconds retry_gap_ = 300;    ///< ms between tries while the store does not answer.
  milliseconds stale_gap_ = 200;    ///< ms until a scan is repeated that was older than what is known.
  milliseconds settle_ = 20;        ///< ms between two looks, so that changes in a row come together.

  /// Waits for changes of a table after a version.
  using changes_function = std::function<task<result<row_page>>(std::string table, std::int64_t after)>;
  changes_function changes_;  ///< Instead of the store's own feed, with its failures; may be empty.
};

/// What a follower tells.
struct table_follower_events {
  /// A scan begins: what it does not tell until its end is gone.
  std::function<void()> scan_started_;
  /// Rows of one page of a scan.
  std::function<void(const std::vector<stored_row>&)> page_scanned_;
  /// All pages of a scan were told; the version is the oldest that one of them reflects.
  std::function<void(std::int64_t)> scan_ended_;
  /// Rows that changed since, in order.
  std::function<void(const std::vector<stored_row>&)> changes_;
  /// A scan or a look that began at this moment of our clock was answered and told: what is known here was
  /// true then. May be empty.
  std::function<void(milliseconds)> verified_;
};

/// For coroutines of one loop. What it tells never goes back in time.
class table_follower : public std::enable_shared_from_this<table_follower> {
 public:
  /// Starts to follow at once.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const table_follower_settings& settings, table_follower_events events)
      -> std::shared_ptr<table_follower>;

  /// Asks once, at once, whether anything has changed, beside a look that the store may hold or lose. True
  /// when it was answered.
  auto poll_now() -> task<bool>;

  /// True once a first scan was told.
  [[nodiscard]] auto primed() const -> bool { return primed_; }

  /// True once a page of a first scan was told.
  [[nodiscard]] auto begun() const -> bool { return begun_; }

  /// When the store answered again after it had not, on our clock; 0 when it never failed.
  [[nodiscard]] auto regained_at() const -> milliseconds { return regained_at_; }

  /// True while the last look failed.
  [[nodiscard]] auto lost() const -> bool { return lost_; }

 private:
  table_follower(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                 table_follower_settings settings, table_follower_events events);

  auto follow() -> task<>;
  auto scan() -> task<bool>;
  auto read_page(const row_range& range) -> task<std::optional<row_page>>;
  auto look(milliseconds wait) -> task<bool>;
  auto answered() -> void;
  auto tell_answered(milliseconds began_at) -> void;
  auto unanswered(const error& reason) -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  table_follower_settings settings_;
  table_follower_events events_;
  steady_clock clock_;
  std::int64_t version_ = 0;
  milliseconds regained_at_ = 0;
  bool scan_needed_ = true;
  bool primed_ = false;
  bool begun_ = false;
  bool lost_ = false;
};

}  // namespace birchlever

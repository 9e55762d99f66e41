/// Reads changes of a store table through a few daemons, the followers, which poll the store and serve the
/// changes to the others. The other daemons hold a long poll at one follower, and poll the store themselves
/// when the follower does not respond, lags or lacks history. No coordination is needed for correctness: more
/// followers only cost additional calls, and without any each daemon polls the store. With 295 daemons and
/// 273 upstreams, polls of its own would cost each daemon 4.9 calls and 30 KB a second.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "birchlever/controllers/change_log.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/http_message.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

class connection_pool;
class peer_views;
struct reported_follower;

/// Settings of peer_feed. Times in ms.
struct peer_feed_settings {
  std::string vm_;
  double cores_ = 0;   ///< This daemon's share of a processor core; daemons with more become followers first.
  int followers_ = 3;  ///< Number of followers.
  milliseconds follower_timeout_ = 3000;  ///< A daemon counts as follower for this time after its report.
  milliseconds max_start_delay_ = 1000;   ///< Upper bound of the random delay before the first poll of the
                                          ///< store; spreads the load when many daemons start at once.
  milliseconds poll_wait_ = 600;          ///< Time for which a follower holds a long poll.
  /// Added to poll_wait_ until a follower counts as unresponsive. The sum must be less than half of the
  /// shortest time within which a leaving upstream must stop getting requests.
  milliseconds response_grace_ = 250;
  milliseconds max_view_age_ = 800;   ///< A follower without store response for this long serves no changes.
  milliseconds peer_backoff_ = 3000;  ///< Time for which a peer that failed is not asked.
  int max_peer_attempts_ = 2;         ///< Peers asked before the store is polled.
  milliseconds peer_retry_interval_ = 100;  ///< Time until peers are asked again after all have failed.
  /// Interval between two polls of the store by a daemon that is no follower; jittered down to half of it.
  /// Limits the load on a slow store: it also holds up the followers, and the polls of all other daemons
  /// would keep it slow.
  milliseconds fallback_poll_interval_ = 1000;
  milliseconds store_poll_wait_ = 500;  ///< Time for which the store holds a follower's long poll.
  std::size_t busy_rows_ = 16;          ///< From this number of rows on, the next poll is delayed.
  milliseconds busy_poll_delay_ = 150;  ///< Delay after busy_rows_; limits the cost of heartbeats.
  /// From this number of rows on, the next poll is not delayed: a poll returns 500 at most, and a delayed
  /// daemon would never catch up with the heartbeats of thousands.
  std::size_t backlog_rows_ = 250;
};

/// Used by coroutines of one event loop.
class peer_feed : public std::enable_shared_from_this<peer_feed> {
 public:
  /// `views` supplies the known followers and must outlive the feed.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                     const peer_feed_settings& settings, change_log::comparison_key_function comparison_key,
                     change_log::pack_function pack = nullptr) -> std::shared_ptr<peer_feed>;

  /// Waits for changes of a table after a version, like the store's own feed and with the same failures.
  auto changes(std::string table, std::int64_t after) -> task<result<row_page>>;

  /// Starts a scan of the table, adds a page of its rows, and finishes it with the version that it reflects.
  auto start_scan() -> void { log_.start_scan(); }
  auto add_page(const std::vector<stored_row>& rows) -> void { log_.add_page(rows); }
  auto finish_scan(std::int64_t version) -> void;

  /// Returns the preferred table followers, to be included in this daemon's periodic state messages to peers.
  [[nodiscard]] auto reported_followers() const -> std::vector<reported_follower>;

  /// Returns true while this daemon polls the store as a follower and can serve changes to peers.
  [[nodiscard]] auto follows() const -> bool;

  /// Returns true if the request is a peer's poll.
  [[nodiscard]] static auto is_request(const http_request& request) -> bool;

  /// Handles a peer's poll: 200 with the changes, 410 if the version is older than the history, 503 if this
  /// daemon received no recent store response or is behind the requested version, 400 if the request is
  /// malformed.
  auto answer(http_request request) -> task<http_response>;

 private:
  peer_feed(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
            const peer_feed_settings& settings, change_log::comparison_key_function comparison_key,
            change_log::pack_function pack);

  [[nodiscard]] auto should_follow() const -> bool;
  [[nodiscard]] auto can_serve() const -> bool;
  auto page_after(std::int64_t after) -> std::optional<std::string>;
  [[nodiscard]] auto rank_of(const std::string& vm, double cores) const -> std::pair<double, std::uint64_t>;
  /// Returns the VM and address of the current follower while it responds, else of the one preferred by this
  /// daemon.
  auto choose_peer() -> std::optional<std::pair<std::string, std::string>>;
  [[nodiscard]] auto has_recent_store_contact() const -> bool;
  auto record_source(const std::string& peer, const std::string& address) -> void;
  /// Polls peers. Returns none if none responded.
  auto poll_peers(std::int64_t after) -> task<std::optional<row_page>>;
  auto poll_store(std::string table, std::int64_t after) -> task<result<row_page>>;
  auto poll_peer(std::string address, std::int64_t after) -> task<result<row_page>>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  const peer_views* views_;
  peer_feed_settings settings_;
  change_log log_;
  loop_signal changed_;
  std::minstd_rand random_;              ///< For jitter.
  milliseconds next_store_poll_at_ = 0;  ///< When a daemon that is no follower may poll the store next.
  std::shared_ptr<connection_pool> connections_;
  steady_clock clock_;
  std::string source_;  ///< VM of the peer polled last; empty for the store.
  std::string source_address_;
  milliseconds first_poll_at_ = 0;  ///< When the store may be polled for the first time.
  struct encoded_page {
    std::int64_t after_ = -1;
    std::int64_t version_ = -1;
    std::string bytes_;
  };
  encoded_page last_page_;                       ///< Cached, since most peers request the same page.
  milliseconds last_store_response_at_ = 0;      ///< 0 if never.
  bool busy_ = false;                            ///< The last poll returned many rows.
  std::map<std::string, milliseconds> avoided_;  ///< End of the backoff of failed peers, by VM.
};

}  // namespace birchlever

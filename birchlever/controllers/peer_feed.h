/// Follows a table of the store through a few daemons. Those look at the store themselves and tell the others
/// what changed; the others hold a look at one of them, and look at the store when it does not answer, lags
/// or has forgotten. Nobody must exist: with several followers calls are wasted, with none each looks itself.
///
/// On a fleet of 295 daemons before 273 upstreams each daemon's own looks cost 4.9 calls and 30 KB a second.
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
struct told_follower;

/// How a table is followed through peers. Times in ms.
struct peer_feed_settings {
  std::string vm_;
  double cores_ = 0;                 ///< This daemon's share of a core: those with more follow first.
  int followers_ = 3;                ///< Daemons that look at the store themselves.
  milliseconds remembered_ = 3000;   ///< A follower counts for so long after it said that it is one; daemons
                                     ///< tell each other, so that all hear of it within a second.
  milliseconds start_delay_ = 1000;  ///< At most, before the first look at the store: of hundreds that start
                                     ///< at once those that draw the shortest become followers.
  milliseconds wait_ = 600;          ///< A look is held by a peer so long.
  milliseconds grace_ = 250;   ///< Beyond that, until the peer is taken for silent. With wait_ less than half
                               ///< of the shortest time after which a leaving upstream must get no work.
  milliseconds oldest_ = 800;  ///< A follower that the store answered longer ago tells nobody.
  milliseconds avoid_ = 3000;  ///< A peer that failed is not asked for so long.
  int peer_tries_ = 2;         ///< Peers that are asked before the store is.
  milliseconds peers_gap_ = 100;   ///< Until peers are asked again that all failed.
  milliseconds store_gap_ = 1000;  ///< A daemon that does not follow looks at the store at most so often,
                                   ///< half of it at least: when followers are held up since the store is,
                                   ///< the looks of all others must not hold it up for good.
  milliseconds store_wait_ = 500;  ///< A follower's own look is held by the store so long.
  std::size_t busy_rows_ = 16;     ///< Where a look brings so many rows, heartbeats of hundreds,
  milliseconds busy_gap_ = 150;    ///< the next one comes so much later: each look has its price.
  std::size_t full_rows_ = 250;  ///< But not where it brings so many: a look brings 500 at most, and whoever
                                 ///< falls behind the heartbeats of thousands never catches up.
};

/// For coroutines of one loop.
class peer_feed : public std::enable_shared_from_this<peer_feed> {
 public:
  /// `views` outlive it and tell which peers follow.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                     const peer_feed_settings& settings, change_log::meaning_function meaning,
                     change_log::pack_function pack = nullptr) -> std::shared_ptr<peer_feed>;

  /// Waits for changes of a table after a version, as the store's own feed does, and with its failures.
  auto changes(std::string table, std::int64_t after) -> task<result<row_page>>;

  /// A scan of the table begins, brings a page of rows, and ends with the version that all of it reflects.
  auto begin_scan() -> void { log_.begin(); }
  auto take_page(const std::vector<stored_row>& rows) -> void { log_.add(rows); }
  auto end_scan(std::int64_t version) -> void;

  /// The followers that a message of this daemon names.
  [[nodiscard]] auto reported_followers() const -> std::vector<told_follower>;

  /// True when this daemon looks at the store itself, goes on doing so, and may be asked by others.
  [[nodiscard]] auto follows() const -> bool;

  /// True for a peer's look.
  [[nodiscard]] static auto is_request(const http_request& request) -> bool;

  /// Answers a peer's look: 200 with the changes, 410 when it asks for forgotten ones, 503 when this daemon
  /// does not follow or has not heard from the store of late, 400 when the request can't be read.
  auto answer(http_request request) -> task<http_response>;

 private:
  peer_feed(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
            const peer_feed_settings& settings, change_log::meaning_function meaning,
            change_log::pack_function pack);

  [[nodiscard]] auto must_follow() const -> bool;
  [[nodiscard]] auto may_answer() const -> bool;
  auto page_after(std::int64_t after) -> std::optional<std::string>;
  [[nodiscard]] auto rank_of(const std::string& vm, double cores) const -> std::pair<double, std::uint64_t>;
  /// The peer followed so far while it answers, else one by this daemon's own order.
  auto choose_peer() -> std::optional<std::pair<std::string, std::string>>;
  [[nodiscard]] auto current() const -> bool;
  auto note_source(const std::string& peer, const std::string& address) -> void;
  /// Asks peers. Yields nothing when none answered.
  auto look_at_peers(std::int64_t after) -> task<std::optional<row_page>>;
  auto look_at_store(std::string table, std::int64_t after) -> task<result<row_page>>;
  auto look_at_peer(std::string address, std::int64_t after) -> task<result<row_page>>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  const peer_views* views_;
  peer_feed_settings settings_;
  change_log log_;
  loop_signal changed_;
  std::minstd_rand random_;     ///< For jitter.
  milliseconds store_due_ = 0;  ///< When the store may be looked at without following it.
  std::shared_ptr<connection_pool> connections_;
  steady_clock clock_;
  std::string source_;  ///< The peer looked at last; empty for the store.
  std::string source_address_;
  milliseconds first_look_at_ = 0;  ///< When the store may be looked at first.
  struct encoded_page {
    std::int64_t after_ = -1;
    std::int64_t version_ = -1;
    std::string bytes_;
  };
  encoded_page last_page_;                       ///< Most who ask ask for the same.
  milliseconds store_answered_at_ = 0;           ///< 0 when never.
  bool busy_ = false;                            ///< The last look brought many rows.
  std::map<std::string, milliseconds> avoided_;  ///< Peers that failed, until when.
};

}  // namespace birchlever

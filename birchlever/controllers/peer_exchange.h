/// What daemons tell each other beside the store: when it last answered them, which configuration they serve,
/// and how many requests they have at each upstream. Losing any message, or all, only makes views older.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "birchlever/controllers/peer_views.h"
#include "birchlever/http/task.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// How views are exchanged.
struct peer_exchange_settings {
  std::string vm_;
  std::string address_;               ///< "ip:port" of the datagrams, alike in form on all daemons.
  std::string table_ = "daemons";     ///< Where daemons find each other.
  milliseconds send_interval_ = 200;  ///< A burst fills an upstream within some hundred ms.
  milliseconds report_delay_ =
      20;  ///< News of so long go out together, so that a bad second costs few messages.
  milliseconds min_report_interval_ = 200;  ///< Between two sendings of news: 350 datagrams take some ms of a
                                            ///< small VM's processor.
  int max_report_receivers_ =
      350;                  ///< Peers that get news, drawn anew each time: all of the largest fleet, so that
                            ///< three daemons that met a dead upstream are heard by all. 8 failures/s at one
                            ///< upstream cost each daemon 8 datagrams/s of about 100 bytes.
  int max_receivers_ = 16;  ///< A message each gap to so many, drawn anew: bounds the cost at any size.
  milliseconds max_state_age_ = 1500;  ///< Older views count no more.
  milliseconds list_gap_ = 30000;      ///< Between two readings of the list of daemons; those that are heard
                                       ///< before are known at once. Six calls a reading at 295 daemons.
  milliseconds call_limit_ = 1500;     ///< For one call of the store.
  milliseconds forget_ = 600000;  ///< A peer that is listed and not heard for so long is taken from the list;
                                  ///< one that lives finds itself missing and lists itself again.
};

/// For coroutines of one loop.
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
 public:
  /// Yields what this daemon says of itself.
  using describe_function = std::function<peer_state()>;

  /// Binds the address, announces this daemon in the store and begins. Failures: invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const peer_exchange_settings& settings, describe_function describe)
      -> result<std::shared_ptr<peer_exchange>>;

  [[nodiscard]] auto settings() const -> const peer_exchange_settings& { return settings_; }

  /// What peers said.
  [[nodiscard]] auto views() const -> const peer_views& { return views_; }

  /// Called with a peer's VM and what it learned of an upstream.
  using news_function = std::function<void(const std::string&, const upstream_news&)>;
  auto on_health_report(news_function callback) -> void { on_news_ = std::move(callback); }

  /// Called with all other listed daemons, by VM, each time that the list was read.
  using list_function = std::function<void(const std::map<std::string, asio::ip::udp::endpoint>&)>;
  auto on_list(list_function callback) -> void { on_list_ = std::move(callback); }

  /// Called with a peer's VM when a regular message of it came.
  using heard_function = std::function<void(const std::string&)>;
  auto on_peer_seen(heard_function callback) -> void { on_heard_ = std::move(callback); }

  /// Tells peers soon what this daemon learned.
  auto publish(const upstream_news& news) -> void;

  /// Peers that the store lists.
  [[nodiscard]] auto listed_peers() const -> std::size_t { return receivers_.size(); }

  /// True once the list was read.
  [[nodiscard]] auto list_known() const -> bool { return list_known_; }

 private:
  peer_exchange(event_loop& loop, std::shared_ptr<row_store_interface> rows, peer_exchange_settings settings,
                describe_function describe);

  auto send_all() -> task<>;
  auto send_news() -> task<>;
  auto send(const peer_state& state, int most) -> void;
  auto receive_all() -> task<>;
  auto take(peer_state said) -> void;
  auto learn(const asio::ip::udp::endpoint& peer) -> void;
  auto follow_list() -> task<>;
  auto announce() -> task<bool>;
  auto read_list() -> task<bool>;
  auto forget_silent(std::vector<stored_row> rows) -> task<>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  peer_exchange_settings settings_;
  describe_function describe_;
  asio::ip::udp::socket socket_;
  steady_clock clock_;
  std::mt19937 random_;
  std::vector<asio::ip::udp::endpoint> receivers_;
  std::set<asio::ip::udp::endpoint> known_;  ///< The same, to be looked up.
  std::vector<upstream_news> untold_;
  milliseconds told_at_ = 0;
  bool list_known_ = false;
  news_function on_news_;
  list_function on_list_;
  heard_function on_heard_;
  peer_views views_;
  std::map<std::string, milliseconds> silent_since_;  ///< Listed peers, until they are heard.
};

}  // namespace birchlever

/// Datagrams that daemons exchange directly: time since the last store response, configuration version, and
/// requests in flight at each upstream. Lost messages only make the receiver's view older.
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
#include "birchlever/http/loop_signal.h"
#include "birchlever/http/task.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Settings of the exchange. Times in ms.
struct peer_exchange_settings {
  std::string vm_;
  std::string address_;                     ///< "ip:port" of the datagram socket, as listed in the store.
  std::string table_ = "daemons";           ///< Table that lists all daemons.
  milliseconds send_interval_ = 200;        ///< Interval between two regular messages; a burst of
                                            ///< requests fills an upstream within some hundred ms.
  milliseconds report_delay_ = 20;          ///< Time for which health reports are collected into one message.
  milliseconds min_report_interval_ = 200;  ///< Minimum interval between two messages with health reports;
                                            ///< 350 datagrams take some ms of a small VM's processor.
  milliseconds min_record_interval_ = 40;   ///< Likewise if a record of the crash history waits: it must
                                            ///< arrive before the caller's next attempt.
  int max_report_receivers_ = 350;  ///< Peers that get a message with health reports, selected at random.
                                    ///< Covers the largest fleet: the reports of three daemons suffice for
                                    ///< all others to avoid a dead upstream.
  int max_receivers_ = 16;  ///< Peers that get a regular message, selected at random; bounds the cost in
                            ///< large fleets.
  milliseconds max_state_age_ = 1500;   ///< Older states are ignored.
  milliseconds list_interval_ = 30000;  ///< Interval between two reads of the list of daemons.
  milliseconds unlisted_delay_ = 100;  ///< Time from the first message of a daemon that is not in the list to
                                       ///< the next read of the list; the daemon registers meanwhile.
  milliseconds min_list_interval_ = 1000;  ///< Minimum interval between two such reads.
  milliseconds call_limit_ = 1500;         ///< Timeout of one store call.
  milliseconds remove_after_ = 600000;  ///< A listed peer that was not seen for this long is removed from the
                                        ///< list. A live daemon that finds itself missing registers again.
};

/// Used by coroutines of one event loop.
class peer_exchange : public std::enable_shared_from_this<peer_exchange> {
 public:
  /// Returns this daemon's state for a regular message.
  using describe_function = std::function<peer_state()>;

  /// Binds the address and starts exchanging messages; registers this daemon in the store. Failures:
  /// invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const peer_exchange_settings& settings, describe_function describe)
      -> result<std::shared_ptr<peer_exchange>>;

  [[nodiscard]] auto settings() const -> const peer_exchange_settings& { return settings_; }

  /// Returns the states received from peers.
  [[nodiscard]] auto views() const -> const peer_views& { return views_; }

  /// Returns the spent programs that peers reported since the last call.
  auto take_spent_reports() -> std::vector<spent_report> { return views_.take_spent_reports(); }

  /// Returns the rows about speeds that peers sent since the previous call.
  [[nodiscard]] auto take_speeds() -> std::vector<peer_speeds> { return views_.take_speeds(); }

  /// Called with a peer's VM and a health report received from it.
  using health_report_function = std::function<void(const std::string&, const upstream_health_report&)>;
  auto on_health_report(health_report_function callback) -> void { on_health_report_ = std::move(callback); }

  /// Called with all other listed daemons, by VM, after each read of the list.
  using list_function = std::function<void(const std::map<std::string, asio::ip::udp::endpoint>&)>;
  auto on_list(list_function callback) -> void { on_list_ = std::move(callback); }

  /// Called with a peer's VM when a regular message from it is received.
  using peer_seen_function = std::function<void(const std::string&)>;
  auto on_peer_seen(peer_seen_function callback) -> void { on_peer_seen_ = std::move(callback); }

  /// Sends a health report to peers after a short delay, together with others.
  auto publish(const upstream_health_report& report) -> void;

  /// Called with a record of the crash history received from a peer.
  using send_record_function = std::function<void(const send_record&)>;
  auto on_send_record(send_record_function callback) -> void { on_send_record_ = std::move(callback); }

  /// Sets the function that returns the records that a peer gets when it has started.
  using introduce_function = std::function<std::vector<send_record>()>;
  auto on_peer_started(introduce_function callback) -> void { introduce_ = std::move(callback); }

  /// Sends a record of the crash history to peers, together with health reports. Sent twice, since datagrams
  /// may be lost.
  auto publish(const send_record& record) -> void;

  /// Returns the number of peers in the list.
  [[nodiscard]] auto listed_peers() const -> std::size_t { return receivers_.size(); }

  /// Returns true once the list has been read.
  [[nodiscard]] auto list_known() const -> bool { return list_known_; }

 private:
  peer_exchange(event_loop& loop, std::shared_ptr<row_store_interface> rows, peer_exchange_settings settings,
                describe_function describe);

  auto send_all() -> task<>;
  auto send_reports() -> task<>;
  auto start_reports() -> void;
  auto take_send_records() -> std::vector<send_record>;
  auto send(const peer_state& state, int max_receivers) -> void;
  auto receive_all() -> task<>;
  auto handle_message(peer_state state, const asio::ip::udp::endpoint& sender) -> void;
  /// Sends the known records to a peer.
  auto introduce(const asio::ip::udp::endpoint& peer) -> void;
  auto add_receiver(const asio::ip::udp::endpoint& peer) -> void;
  auto follow_list() -> task<>;
  /// Waits until the list is to be read again: after `interval` ms, or soon after a message of a daemon that
  /// is not in the list.
  auto wait_for_list(milliseconds interval) -> task<>;
  auto announce() -> task<bool>;
  auto read_list() -> task<bool>;
  auto remove_unresponsive(std::vector<stored_row> rows) -> task<>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  peer_exchange_settings settings_;
  describe_function describe_;
  asio::ip::udp::socket socket_;
  steady_clock clock_;
  std::mt19937 random_;
  std::vector<asio::ip::udp::endpoint> receivers_;
  std::set<asio::ip::udp::endpoint> known_;  ///< The endpoints in receivers_, for lookup.
  /// A record with the number of messages that it is still to be sent in.
  struct pending_record {
    send_record record_;
    milliseconds since_ = 0;
    int messages_ = 2;
  };

  std::vector<upstream_health_report> pending_reports_;
  std::vector<pending_record> pending_records_;
  bool reporting_ = false;
  milliseconds reports_sent_at_ = 0;
  bool list_known_ = false;
  std::set<std::string> listed_;  ///< VMs in the list when it was last read.
  std::string unlisted_peer_;  ///< A VM that sent a message and is not in the list; empty if there is none.
  std::map<std::string, int> unlisted_reads_;  ///< Reads of the list due to such a VM, since the last one at
                                               ///< the regular interval.
  loop_signal unlisted_seen_;
  health_report_function on_health_report_;
  send_record_function on_send_record_;
  introduce_function introduce_;
  list_function on_list_;
  peer_seen_function on_peer_seen_;
  peer_views views_;
  std::map<std::string, milliseconds> unseen_since_;  ///< Time last seen or first listed, by listed peer.
};

}  // namespace birchlever

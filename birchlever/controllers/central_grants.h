/// Account allotments granted by one daemon per account, which other daemons ask by datagram for each
/// request.
///
/// The grantor is the first responsive daemon in the account's order. A backup grantor reports its grants to
/// the primary grantor, so that two daemons that grant at the same time do not both spend the full allotment.
/// When no grantor replies, the daemon falls back to equal shares.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "birchlever/accounts/allotment_grantor.h"
#include "birchlever/accounts/equal_shares.h"
#include "birchlever/accounts/grantor_order.h"
#include "birchlever/controllers/allotment_messages.h"
#include "birchlever/http/loop_signal.h"

namespace birchlever {

/// Settings of central_grants. Times in ms.
struct central_grants_settings {
  std::string vm_;
  std::string address_;  ///< "ip:port" of the datagram socket; the port is the same on all daemons.
  allotment_grantor_settings grantor_;
  milliseconds reply_timeout_ = 60;      ///< Timeout of one attempt. A round trip takes 2 ms, but small VMs
                                         ///< pause for tens of ms.
  int max_attempts_ = 2;                 ///< Attempts per grantor; datagrams are lost now and then.
  milliseconds debit_interval_ = 200;    ///< Interval of a backup grantor's reports to the primary grantor.
  milliseconds reply_retention_ = 1000;  ///< Time for which a reply is kept for retransmitted requests, so
                                         ///< that these are not charged twice.
  equal_shares_settings fallback_{5000, 0.85};  ///< Used while no grantor replies. Below the full share,
                                                ///< since the other side of a partition detects it a second
                                                ///< later.
  std::int64_t assumed_fleet_size_ = 350;  ///< Fleet size assumed until the list of daemons is loaded; an
                                           ///< upper bound, to avoid granting too much.
};

/// Used by coroutines of one event loop.
class central_grants final : public allotment_policy, public std::enable_shared_from_this<central_grants> {
 public:
  /// Returns the configured limit of an account, or none.
  using limit_function = std::function<std::optional<account_allotment>(const std::string&)>;

  /// Returns the fraction of every allotment that this daemon may grant now.
  using share_function = std::function<double()>;

  /// Datagram endpoints of the other daemons, by VM.
  using member_map = std::map<std::string, asio::ip::udp::endpoint>;

  /// Binds the address and starts receiving. Failures: invalid_setting, address_unavailable.
  static auto create(event_loop& loop, const central_grants_settings& settings, limit_function limit_of,
                     share_function share) -> result<std::shared_ptr<central_grants>>;

  auto claim(allotment_claim requested) -> task<allotment_decision> override;

  /// Sets the other daemons that the store lists.
  auto set_members(member_map members) -> void;

  /// Records that a daemon was seen, so that it is asked again.
  auto record_seen(const std::string& vm) -> void { order_.record_seen(vm); }

  /// Returns the number of requests decided by equal shares because no grantor replied.
  [[nodiscard]] auto fallback_decisions() const -> std::int64_t { return fallback_decisions_; }

 private:
  struct pending_request;
  struct sent_reply {
    allotment_reply reply_;
    milliseconds sent_at_ = 0;
  };

  central_grants(event_loop& loop, central_grants_settings settings, limit_function limit_of,
                 share_function share);

  auto receive_all() -> task<>;
  auto send_debits() -> task<>;
  auto handle_message(const allotment_message& message, const asio::ip::udp::endpoint& sender) -> void;
  auto handle_request(const allotment_request& request, const asio::ip::udp::endpoint& sender) -> void;
  auto decide(const allotment_request& request) -> allotment_reply;
  auto request_grant(std::string vm, const allotment_request& request)
      -> task<std::optional<allotment_reply>>;
  auto send(const allotment_message& message, const asio::ip::udp::endpoint& receiver) -> void;
  auto expire_replies() -> void;

  event_loop* loop_;
  central_grants_settings settings_;
  limit_function limit_of_;
  share_function share_;
  asio::ip::udp::socket socket_;
  std::shared_ptr<steady_clock> clock_;
  grantor_order order_;
  allotment_grantor grantor_;
  equal_shares fallback_;
  member_map members_;
  bool members_known_ = false;
  /// Granted while no grantor replied and not reported yet, by account.
  std::unordered_map<std::string, double> granted_without_grantor_;
  std::map<std::string, double> debits_;  ///< Granted as backup grantor and not reported yet, by account.
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_request>> pending_;
  std::unordered_map<std::string, sent_reply> sent_replies_;  ///< By sender and request number.
  std::uint64_t last_request_number_;  ///< Starts at a random number, so that requests of an earlier process
                                       ///< are not repeated.
  std::int64_t fallback_decisions_ = 0;
};

}  // namespace birchlever

/// Allotments granted by one daemon an account, asked for each request by datagram.
///
/// The grantor is the first daemon of the account's order that answers; it counts exactly, wherever requests
/// come in. One that stands in for a better one that is silent tells it what it granted, so that two that act
/// at once for some moments do not both spend the whole. Nobody answers: equal shares, which hold in any cut.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "birchlever/accounts/equal_shares.h"
#include "birchlever/accounts/grantor_desk.h"
#include "birchlever/accounts/grantor_order.h"
#include "birchlever/controllers/allotment_messages.h"
#include "birchlever/http/loop_signal.h"

namespace birchlever {

/// How grants are asked for. Times in ms.
struct central_grants_settings {
  std::string vm_;
  std::string address_;  ///< "ip:port" of the datagrams; the port is the same on all daemons.
  grantor_desk_settings grantor_;
  milliseconds reply_timeout_ =
      60;          ///< For one ask. A way there and back takes 2 ms; small VMs pause for tens.
  int tries_ = 2;  ///< Asks of one grantor: a datagram is lost now and then.
  milliseconds debit_interval_ = 200;  ///< Between two messages of a stand-in to the one it stands in for.
  milliseconds remembered_ =
      1000;  ///< For which an ask's answer is kept, so that a repeated one costs nothing.
  equal_shares_settings fallback_{5000,
                                  0.85};  ///< While no grantor answers. Less than the whole, since the
                                          ///< other side of a cut notices it a second later: keeps a hot
                                          ///< account at 0.98 of its rule, against 1.02 (fleet_model).
  std::int64_t unknown_fleet_ = 350;  ///< Daemons that are assumed while the list of them is not known: the
                                      ///< largest fleet, so that nobody grants too much.
};

/// For coroutines of one loop.
class central_grants final : public allotment_policy, public std::enable_shared_from_this<central_grants> {
 public:
  /// Yields the limit of an account as configured here; none when it has none.
  using limit_function = std::function<std::optional<account_allotment>(const std::string&)>;

  /// Yields the part of every allotment that may be granted here now.
  using share_function = std::function<double()>;

  /// Addresses of the other daemons' datagrams, by VM.
  using member_map = std::map<std::string, asio::ip::udp::endpoint>;

  /// Binds the address. Failures: invalid_setting.
  static auto create(event_loop& loop, const central_grants_settings& settings, limit_function limit_of,
                     share_function share) -> result<std::shared_ptr<central_grants>>;

  auto claim(allotment_claim wanted) -> task<allotment_verdict> override;

  /// The daemons that the store lists, without this one.
  auto set_members(member_map members) -> void;

  /// A daemon was heard of, so it is asked again.
  auto record_seen(const std::string& vm) -> void { order_.note_heard(vm); }

  /// Requests that equal shares had to judge since no grantor answered.
  [[nodiscard]] auto fallback_decisions() const -> std::int64_t { return unanswered_; }

 private:
  struct pending_ask;
  struct given_answer {
    allotment_answer answer_;
    milliseconds at_ = 0;
  };

  central_grants(event_loop& loop, central_grants_settings settings, limit_function limit_of,
                 share_function share);

  auto receive_all() -> task<>;
  auto send_debits() -> task<>;
  auto take(const allotment_message& message, const asio::ip::udp::endpoint& sender) -> void;
  auto answer(const allotment_ask& ask, const asio::ip::udp::endpoint& sender) -> void;
  auto decide(const allotment_ask& ask) -> allotment_answer;
  auto ask_peer(std::string vm, const allotment_ask& ask) -> task<std::optional<allotment_answer>>;
  auto send(const allotment_message& message, const asio::ip::udp::endpoint& receiver) -> void;
  auto forget_answers() -> void;

  event_loop* loop_;
  central_grants_settings settings_;
  limit_function limit_of_;
  share_function share_;
  asio::ip::udp::socket socket_;
  std::shared_ptr<steady_clock> clock_;
  grantor_order order_;
  grantor_desk grantor_;
  equal_shares fallback_;
  member_map members_;
  bool members_known_ = false;
  std::unordered_map<std::string, double> granted_alone_;  ///< While nobody answered, and told to nobody yet.
  std::map<std::string, double> debits_;  ///< Granted as a stand-in and not told yet, by account.
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_ask>> pending_;
  std::unordered_map<std::string, given_answer> given_;  ///< By sender and number.
  std::uint64_t
      asks_;  ///< Numbers asks; begins anywhere, so that those of an earlier process are not repeated.
  std::int64_t unanswered_ = 0;
};

}  // namespace birchlever

/// Transfers drawn budget tokens, reservations and allowances between daemons, and asks them about the use of
/// leased reservations, over HTTP at the control address.
///
/// Tokens in a reply that is lost are not spent by any daemon; the budget is never exceeded. A program seldom
/// needs a transfer: only when its turns moved to another daemon and little of its budget is left.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/coordination/budget_peers.h"
#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/http_call.h"
#include "birchlever/http/http_message.h"

namespace birchlever {

class allowance_ranges;
class connection_pool;
class program_store;

/// Settings of requests to peers. Times in ms.
struct budget_transfer_settings {
  std::string daemon_;                  ///< This incarnation as named in its draws: "VM@start".
  milliseconds request_timeout_ = 250;  ///< Timeout of a request for tokens or an allowance. Peers respond
                                        ///< within a few ms, slow VMs within 100.
  std::size_t max_peers_ = 16;  ///< Peers asked if the holder is unknown; bounds the cost in large fleets.
  milliseconds lease_timeout_ = 40;           ///< Timeout of a request for a reservation. A store write, the
                                              ///< alternative, takes about half of it.
  milliseconds unresponsive_backoff_ = 2000;  ///< No reservation is requested from a peer that timed out.
};

/// Used by coroutines of one event loop.
class budget_transfer final : public budget_peers, public std::enable_shared_from_this<budget_transfer> {
 public:
  /// Returns the control addresses, "ip:port", of live peers, by VM.
  using addresses_function = std::function<std::map<std::string, std::string>()>;

  static auto create(event_loop& loop, const budget_transfer_settings& settings, addresses_function addresses)
      -> std::shared_ptr<budget_transfer>;

  auto request_tokens(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens> override;

  /// Returns the control address of the daemon that last reported holding an allowance range.
  using range_holder_function = std::function<std::optional<std::string>(int)>;

  /// Returns the name of a live daemon, chosen anew at each call; none if there is none.
  using witness_function = std::function<std::optional<std::string>()>;

  /// Sets the daemons among which witnesses are chosen. Without them no lease has a witness.
  auto set_witnesses(witness_function witnesses) -> void { witnesses_ = std::move(witnesses); }

  /// Enables allowances beyond a program's budget, from this daemon's ranges and those of its peers.
  auto set_allowances(std::shared_ptr<allowance_ranges> ranges, range_holder_function holder_of) -> void;

  auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> override;

  auto choose_witness() -> std::optional<std::string> override;

  auto record_lease_use(std::string lease, std::string witness, milliseconds keep_for) -> task<bool> override;

  auto inquire_lease(std::string program_key, std::string lease, std::string daemon, milliseconds keep_for)
      -> task<lease_answer> override;

  auto revoke_lease(std::string lease, std::string witness, milliseconds keep_for)
      -> task<lease_answer> override;

  auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> override;

  /// Returns true if the request is a peer's request for tokens, a reservation or an allowance, or concerns
  /// the use of a lease.
  [[nodiscard]] static auto is_request(const http_request& request) -> bool;

  /// Handles a peer's request: 200 with the tokens granted or what is known of the lease, 409 if the lease is
  /// revoked, 410 if it addresses an earlier incarnation or the reservation is not available, 400 if it is
  /// malformed.
  auto answer(program_store& programs, const http_request& request) const -> http_response;

 private:
  struct peer_query;

  budget_transfer(event_loop& loop, const budget_transfer_settings& settings, addresses_function addresses);

  auto ask_peer(std::string address, std::string target, std::shared_ptr<peer_query> query) -> task<>;
  auto call(std::string address, std::string target) -> task<std::optional<transferred_tokens>>;
  auto exchange(std::string address, std::string target, milliseconds limit)
      -> task<std::optional<whole_answer>>;
  auto answer_lease(program_store& programs, const std::vector<std::string>& parts) const -> http_response;
  auto answer_lease_use(program_store& programs, std::string_view target) const -> http_response;

  /// Sends a request about a lease to a daemon. Yields nothing if it does not respond in time, also if it did
  /// not a short time ago.
  auto ask_about_lease(std::string daemon, std::string target) -> task<std::optional<whole_answer>>;

  event_loop* loop_;
  budget_transfer_settings settings_;
  addresses_function addresses_;
  std::shared_ptr<allowance_ranges> allowances_;  ///< Null: programs never exceed their budgets.
  range_holder_function holder_of_;
  witness_function witnesses_;
  std::shared_ptr<connection_pool> connections_;
  steady_clock clock_;
  std::map<std::string, milliseconds> unresponsive_until_;  ///< Peers that timed out, by VM.
};

}  // namespace birchlever

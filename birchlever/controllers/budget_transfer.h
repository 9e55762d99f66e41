/// Hands drawn budgets from daemon to daemon, by a call at the control address.
///
/// The answer may be lost after its tokens were given away; they are then spent by nobody, which is safe. A
/// program seldom needs this: only when its turns moved to another daemon and little of its budget is left.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "birchlever/coordination/budget_peers.h"
#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/http_call.h"
#include "birchlever/http/http_message.h"

namespace birchlever {

class allowance_ranges;
class connection_pool;
class program_store;

/// How peers are asked.
struct budget_transfer_settings {
  std::string daemon_;             ///< This incarnation, as its draws name it: "VM@start".
  milliseconds limit_ = 250;       ///< ms for one answer: peers answer within a few; slow VMs within 100.
  std::size_t most_asked_ = 16;    ///< Peers asked when the holder is not known: bounds the cost at any size.
  milliseconds lease_limit_ = 40;  ///< For a reservation: a write of the store takes about half of it.
  milliseconds silent_ = 2000;     ///< A peer that did not answer is not asked for one for so long.
};

/// For coroutines of one loop.
class budget_transfer final : public budget_peers, public std::enable_shared_from_this<budget_transfer> {
 public:
  /// Yields the control addresses, "ip:port", of peers that live, by VM.
  using addresses_function = std::function<std::map<std::string, std::string>()>;

  static auto create(event_loop& loop, const budget_transfer_settings& settings, addresses_function addresses)
      -> std::shared_ptr<budget_transfer>;

  auto request_tokens(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens> override;

  /// Yields the control address of the daemon that holds a range of allowances, as it last said.
  using range_holder_function = std::function<std::optional<std::string>(int)>;

  /// Lets programs go beyond their budgets, through this daemon's ranges and those of others.
  auto set_allowances(std::shared_ptr<allowance_ranges> ranges, range_holder_function holder_of) -> void;

  auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> override;

  auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> override;

  /// True for a peer's request for tokens.
  [[nodiscard]] static auto is_request(const http_request& request) -> bool;

  /// Answers a peer's request out of what this daemon drew: 200 with the tokens, 410 when the peer means an
  /// earlier incarnation, 400 when the request can't be read.
  auto answer(program_store& programs, const http_request& request) const -> http_response;

 private:
  struct round;

  budget_transfer(event_loop& loop, const budget_transfer_settings& settings, addresses_function addresses);

  auto ask_one(std::string address, std::string target, std::shared_ptr<round> asked) -> task<>;
  auto call(std::string address, std::string target) -> task<std::optional<transferred_tokens>>;
  auto exchange(std::string address, std::string target, milliseconds limit)
      -> task<std::optional<whole_answer>>;
  auto answer_lease(program_store& programs, const std::vector<std::string>& parts) const -> http_response;

  event_loop* loop_;
  budget_transfer_settings settings_;
  addresses_function addresses_;
  std::shared_ptr<allowance_ranges> allowances_;  ///< None: programs never go beyond their budgets.
  range_holder_function holder_of_;
  std::shared_ptr<connection_pool> connections_;
  steady_clock clock_;
  std::map<std::string, milliseconds> silent_until_;  ///< Peers that did not answer, by VM.
};

}  // namespace birchlever

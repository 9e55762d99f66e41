/// Client for the owners of shards, on this daemon or on others.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "birchlever/controllers/owner_messages.h"

namespace birchlever {

struct daemon_context;
class peer_client_pool;
class shard_set;

/// Reply of a daemon that can be given shards.
inline constexpr auto can_own_reply = "able";

namespace rpc {
class envelope;
}

/// Thread safe; calls block. Tracks this daemon's calls in flight, so that a new owner can adopt them, and
/// settlements that no owner has confirmed yet, so that they are retried when the caller has gone.
class owner_gateway {
 public:
  owner_gateway(std::shared_ptr<daemon_context> context, std::shared_ptr<peer_client_pool> peers,
                std::shared_ptr<shard_set> shards);
  ~owner_gateway();

  /// Requests a ticket. Retries for a short time while the shard's owner changes.
  auto open(const open_request& request) -> open_reply;

  /// Notifies the owner that an upstream accepted the call.
  auto accepted(const accepted_report& report) -> void;

  /// Settles a call. Failures: answer_not_recorded if no owner confirmed it in time; the settlement is then
  /// retried in the background.
  auto settle(const settle_request& request) -> settle_reply;

  /// Settles a call in the background.
  auto settle_later(const settle_request& request) -> void;

  /// Requests about a program; the responses are JSON.
  auto create_program(const program_request& request) -> result<std::string>;
  auto end_program(const program_request& request) -> result<std::string>;
  auto history(const program_request& request) -> result<std::string>;

  /// Runs an operator's statement on one daemon.
  auto query(const std::string& address, const std::string& statement) -> result<std::string>;

  /// Returns true if the daemon reports that it reaches the store and is not stopping, so that it can be
  /// given shards.
  auto can_own(const std::string& address) -> bool;

  /// Notifies a daemon of this daemon's configuration generation.
  auto notify_generation(const std::string& address) -> void;

  /// Sends load reports to another owner.
  auto share_views(const std::string& address, const std::string& views) -> void;

  /// Announces calls in flight to new owners and retries unconfirmed settlements. Call periodically, from one
  /// thread.
  auto reconcile() -> void;

  /// Returns the number of settlements that no owner has confirmed yet.
  [[nodiscard]] auto open_settlements() const -> std::size_t;

 private:
  struct call_in_flight {
    accepted_report report_;
    std::int64_t announced_epoch_ = 0;
  };

  struct open_settlement {
    settle_request request_;
    milliseconds expires_at_ = 0;
  };

  template <class Reply, class Local, class Remote>
  auto call_owner(int shard, milliseconds max_wait, Local local, Remote remote) -> Reply;
  [[nodiscard]] auto shard_for(const std::string& account, const std::string& program) const -> int;
  [[nodiscard]] auto envelope() const -> rpc::envelope;
  auto record_generation(std::int64_t generation) -> void;
  auto send_accepted(const accepted_report& report) -> void;
  auto settle_once(const settle_request& request, milliseconds max_wait) -> settle_reply;
  auto void_later(const open_request& request) -> void;
  auto text_call(const program_request& request, int kind) -> result<std::string>;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<peer_client_pool> peers_;
  std::shared_ptr<shard_set> shards_;
  mutable std::mutex mutex_;
  std::map<std::int64_t, call_in_flight> calls_in_flight_;  ///< By fencing number.
  std::vector<open_settlement> open_settlements_;
};

}  // namespace birchlever

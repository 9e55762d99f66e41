/// The way from an entry filter to a shard's owner, on this daemon or another.
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

/// The answer of a daemon that may be given shards.
inline constexpr auto can_own_reply = "able";

namespace rpc {
class envelope;
}

/// Thread safe; calls block. Keeps the calls this daemon has under way, so that a new owner can adopt them,
/// and the settlements an owner has not confirmed yet, so that no answer's record is lost with its caller.
class owner_gateway {
 public:
  owner_gateway(std::shared_ptr<daemon_context> context, std::shared_ptr<peer_client_pool> peers,
                std::shared_ptr<shard_set> shards);
  ~owner_gateway();

  /// Asks for a ticket. Tries again for a short while when the owner is changing.
  auto open(const open_request& request) -> open_reply;

  /// Tells the owner that an upstream confirmed the call.
  auto accepted(const accepted_report& report) -> void;

  /// Settles a call. Failures: answer_not_recorded when no owner confirmed it in time; it is tried on.
  auto settle(const settle_request& request) -> settle_reply;

  /// Settles a call in the background; no one waits for it.
  auto settle_later(const settle_request& request) -> void;

  /// Requests about whole programs; the answers are JSON.
  auto create_program(const program_request& request) -> result<std::string>;
  auto end_program(const program_request& request) -> result<std::string>;
  auto history(const program_request& request) -> result<std::string>;

  /// Runs an operator's statement on one daemon.
  auto query(const std::string& address, const std::string& statement) -> result<std::string>;

  /// True when a daemon says that it reaches the store and is not stopping, so that shards may go to it.
  auto can_own(const std::string& address) -> bool;

  /// Tells a daemon our configuration generation.
  auto notify_generation(const std::string& address) -> void;

  /// Sends load reports to another owner.
  auto share_views(const std::string& address, const std::string& views) -> void;

  /// Announces calls under way to owners that took over since, and repeats open settlements. Run it from
  /// time to time, from one thread.
  auto catch_up() -> void;

  /// Settlements no owner has confirmed yet.
  [[nodiscard]] auto open_settlements() const -> std::size_t;

 private:
  struct under_way {
    accepted_report report_;
    std::int64_t announced_epoch_ = 0;
  };

  struct open_settlement {
    settle_request request_;
    milliseconds give_up_at_ = 0;
  };

  template <class Reply, class Local, class Remote>
  auto reach(int shard, milliseconds patience, Local local, Remote remote) -> Reply;
  [[nodiscard]] auto shard_for(const std::string& account, const std::string& program) const -> int;
  [[nodiscard]] auto envelope() const -> rpc::envelope;
  auto heard(std::int64_t generation) -> void;
  auto send_accepted(const accepted_report& report) -> void;
  auto settle_once(const settle_request& request, milliseconds patience) -> settle_reply;
  auto void_later(const open_request& request) -> void;
  auto text_call(const program_request& request, int kind) -> result<std::string>;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<peer_client_pool> peers_;
  std::shared_ptr<shard_set> shards_;
  mutable std::mutex mutex_;
  std::map<std::int64_t, under_way> under_way_;  ///< By fencing number.
  std::vector<open_settlement> open_settlements_;
};

}  // namespace birchlever

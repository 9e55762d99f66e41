/// Connections to the peer ports of other daemons, shared by threads.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"

namespace birchlever {

namespace rpc {
class peerClient;
}

/// How peer calls behave. Times in milliseconds.
struct peer_pool_settings {
  milliseconds connect_timeout_ = 400;
  std::size_t idle_per_peer_ = 16;
};

/// Lends Thrift clients. Failures: owner_unreachable, with not_run when nothing was sent and
/// outcome_unknown when the peer may have taken the message in.
class peer_client_pool {
 public:
  using exchange = std::function<void(rpc::peerClient&)>;

  /// Checks the settings and makes an empty pool.
  static auto create(const peer_pool_settings& settings) -> result<std::shared_ptr<peer_client_pool>>;

  ~peer_client_pool();

  /// Runs one call against the peer at "ip:port", waiting at most so long for its answer.
  auto call(const std::string& address, milliseconds answer_timeout, const exchange& use) -> status;

 private:
  struct connection;

  explicit peer_client_pool(const peer_pool_settings& settings);

  auto borrow(const std::string& address) -> result<std::unique_ptr<connection>>;
  auto give_back(const std::string& address, std::unique_ptr<connection> used) -> void;

  /// Closes the idle connections to a peer that gave no answer on another one: they may be silent too, while
  /// new ones work.
  auto forget(const std::string& address) -> void;

  peer_pool_settings settings_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<connection>>> idle_;
};

}  // namespace birchlever

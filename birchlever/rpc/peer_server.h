/// The peer port: messages of other daemons, refused unless they carry the fleet's key.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/core/result.h"

namespace birchlever {

struct daemon_context;
class shard_set;

/// Serves until stopped, on threads of its own.
class peer_server {
 public:
  /// Runs an operator's statement on this daemon only and gives its rows as JSON.
  using query_handler = std::function<result<std::string>(const std::string&)>;

  /// Binds the peer port. Failures: invalid_setting when the port is taken.
  static auto create(std::shared_ptr<daemon_context> context, std::shared_ptr<shard_set> shards,
                     query_handler query, std::function<void()> look_now)
      -> result<std::unique_ptr<peer_server>>;

  ~peer_server();

  /// Ends serving and waits for its threads and for the messages that they are handling.
  auto stop() -> void;

 private:
  struct state;
  explicit peer_server(std::unique_ptr<state> made);

  std::unique_ptr<state> state_;
};

}  // namespace birchlever

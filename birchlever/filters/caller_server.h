/// The HTTP server for callers, operators, health checks and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/core/result.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// Serves on its own threads until stopped.
class caller_server {
 public:
  /// Executes an operator's statement on the whole fleet and returns the result as JSON.
  using operate_handler = std::function<result<std::string>(const std::string& statement)>;

  /// Binds the HTTP port and starts serving. Failures: invalid_setting if the port cannot be bound.
  static auto create(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway,
                     operate_handler operate) -> result<std::unique_ptr<caller_server>>;

  ~caller_server();

  /// Stops serving and joins the threads. Calls in flight and requests that have arrived are answered first.
  auto stop() -> void;

 private:
  struct state;
  explicit caller_server(std::unique_ptr<state> initial);

  std::unique_ptr<state> state_;
};

}  // namespace birchlever

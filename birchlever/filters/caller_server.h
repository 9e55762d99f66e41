/// The HTTP port: callers, operators, health and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/core/result.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// Serves until stopped, on threads of its own.
class caller_server {
 public:
  /// Runs an operator's statement on the whole fleet and gives the answer as JSON.
  using operate_handler = std::function<result<std::string>(const std::string& statement)>;

  /// Binds the HTTP port. Failures: invalid_setting when the port is taken.
  static auto create(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway,
                     operate_handler operate) -> result<std::unique_ptr<caller_server>>;

  ~caller_server();

  /// Ends serving and waits for its threads; calls under way finish first.
  auto stop() -> void;

 private:
  struct state;
  explicit caller_server(std::unique_ptr<state> made);

  std::unique_ptr<state> state_;
};

}  // namespace birchlever

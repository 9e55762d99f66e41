/// What all stand-ins have in common: an HTTP port, a control route for faults, a way to end.
#pragma once

#include <httplib.h>

#include <string>

#include "stand_ins/fault_board.h"

namespace birchlever::stand_ins {

/// POST /control {"name": level, ...} sets faults. Serves until SIGTERM.
class stand_in_server {
 public:
  stand_in_server();

  [[nodiscard]] auto server() -> httplib::Server& { return server_; }
  [[nodiscard]] auto faults() -> fault_board& { return faults_; }

  /// Listens until SIGTERM or SIGINT. False when the port cannot be used.
  auto serve(const std::string& host, int port) -> bool;

 private:
  httplib::Server server_;
  fault_board faults_;
};

}  // namespace birchlever::stand_ins

/// Finds out whether a server still accepts connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "birchlever/http/task.h"

namespace birchlever {

/// State of a port as seen by a connection attempt.
enum class port_state {
  open,    ///< The connection was accepted.
  closed,  ///< The connection was refused: no process listens on the port.
  silent   ///< No response within the limit, or no route to the host.
};

/// Returns the name of a state in logs and metrics.
[[nodiscard]] auto name_of(port_state state) -> std::string_view;

/// Connects to an address within `limit` ms and closes the connection without sending anything.
auto probe_port(event_loop& loop, asio::ip::tcp::endpoint address, milliseconds limit) -> task<port_state>;

}  // namespace birchlever

/// Ports for tests.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "birchlever/http/task.h"

namespace birchlever {

/// A port that is free now. Two tests at once may draw the same; the loser fails to listen and draws again.
inline auto free_port(event_loop& loop) -> unsigned short {
  auto acceptor = asio::ip::tcp::acceptor{loop, asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
  return acceptor.local_endpoint().port();
}

}  // namespace birchlever

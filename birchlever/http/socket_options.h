/// Options that every TCP connection of the event loop gets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "birchlever/core/clock.h"

namespace birchlever {

/// No delay of small writes; bytes not acknowledged for `silence_limit` ms end the connection, so that a peer
/// without power or behind a cut does not hold it for minutes.
auto set_socket_options(boost::asio::ip::tcp::socket& socket, milliseconds silence_limit) -> void;

/// True when the peer has closed, or has sent bytes that nobody asked for. Only for a connection without an
/// exchange: the call takes a pending error of the socket, so that no later one gets it.
[[nodiscard]] auto has_unasked_input(boost::asio::ip::tcp::socket& socket) -> bool;

/// True when the peer has ended its side of the connection (FIN) and nothing has ended ours since. False
/// after a reset and after the limit of silence, also when no call on the socket reports these any more.
[[nodiscard]] auto is_ended_by_peer(boost::asio::ip::tcp::socket& socket) -> bool;

}  // namespace birchlever

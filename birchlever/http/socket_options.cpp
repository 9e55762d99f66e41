#include "birchlever/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>

#include "birchlever/telemetry/log.h"

namespace birchlever {

auto set_socket_options(boost::asio::ip::tcp::socket& socket, milliseconds silence_limit) -> void {
  auto code = boost::system::error_code{};
  socket.set_option(boost::asio::ip::tcp::no_delay{true}, code);
  auto limit = static_cast<unsigned int>(silence_limit);
  auto outcome = setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                            static_cast<socklen_t>(sizeof limit));
  if (code || outcome != 0) {
    log_event(log_level::debug, "socket_option_refused", {{"errno", std::int64_t{errno}}});
  }
}

auto has_unasked_input(boost::asio::ip::tcp::socket& socket) -> bool {
  auto byte = char{};
  auto seen = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto is_ended_by_peer(boost::asio::ip::tcp::socket& socket) -> bool {
  auto info = tcp_info{};
  auto size = static_cast<socklen_t>(sizeof info);
  auto outcome = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return outcome == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

}  // namespace birchlever

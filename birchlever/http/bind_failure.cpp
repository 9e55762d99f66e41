#include "birchlever/http/bind_failure.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <cerrno>

namespace birchlever {
namespace {

namespace asio = boost::asio;

/// Errors whose cause lies outside the settings and may pass.
constexpr auto passing_errors =
    std::array{EADDRINUSE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN};

/// Connections that a process with this option left behind hold the port for those without it.
auto allow_port_reuse(asio::ip::tcp::acceptor& acceptor, boost::system::error_code& code) -> void {
  auto on = 1;
  if (setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0) {
    code = {errno, boost::system::system_category()};
  }
}

}  // namespace

auto open_failure(const std::string& what, const boost::system::error_code& code) -> error {
  auto may_pass =
      std::find(passing_errors.begin(), passing_errors.end(), code.value()) != passing_errors.end();
  return error{may_pass ? error_code::address_unavailable : error_code::invalid_setting,
               "can't open " + what + ": " + code.message()};
}

auto bind_failure(const std::string& address, const boost::system::error_code& code) -> error {
  return open_failure("address " + address, code);
}

auto check_bindable(const asio::ip::tcp::endpoint& address) -> status {
  auto loop = asio::io_context{};
  auto acceptor = asio::ip::tcp::acceptor{loop};
  auto code = boost::system::error_code{};
  acceptor.open(address.protocol(), code);
  if (!code) {
    acceptor.set_option(asio::socket_base::reuse_address{true}, code);
  }
  if (!code) {
    allow_port_reuse(acceptor, code);
  }
  if (!code) {
    acceptor.bind(address, code);
  }
  if (!code) {
    acceptor.listen(1, code);  // A port that another process listens on fails only here.
  }
  if (code) {
    return bind_failure(address.address().to_string() + ":" + std::to_string(address.port()), code);
  }
  return success;
}

}  // namespace birchlever

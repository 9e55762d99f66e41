#include "soak/tcp_proxy.h"

#include <array>
#include <boost/asio/write.hpp>

#include "birchlever/http/http_listener.h"

namespace birchlever::soak {
namespace {

constexpr auto slow_ms = milliseconds{250};  // Over ten times what the store usually takes.
constexpr auto piece_size = std::size_t{16384};

auto reset(asio::ip::tcp::socket& socket) -> void {
  auto ignored = boost::system::error_code{};  // It may be closed already.
  socket.set_option(asio::socket_base::linger{true, 0}, ignored);
  socket.close(ignored);
}

}  // namespace

tcp_proxy::tcp_proxy(event_loop& loop, asio::ip::tcp::endpoint target)
    : loop_{&loop}, acceptor_{loop}, target_{std::move(target)} {}

auto tcp_proxy::create(event_loop& loop, const std::string& address, const std::string& target)
    -> result<std::shared_ptr<tcp_proxy>> {
  auto at = parse_address(address);
  auto to = parse_address(target);
  if (!ok(at) || !ok(to)) {
    return failure(ok(at) ? to : at);
  }
  auto made = std::shared_ptr<tcp_proxy>{new tcp_proxy{loop, value(to)}};
  auto code = boost::system::error_code{};
  made->acceptor_.open(asio::ip::tcp::v4(), code);
  made->acceptor_.set_option(asio::socket_base::reuse_address{true}, code);
  made->acceptor_.bind(value(at), code);
  if (!code) {
    made->acceptor_.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return error{error_code::invalid_setting, "a proxy can't listen at " + address + ": " + code.message()};
  }
  start(loop, "proxy_accept", made->accept_all());
  return made;
}

auto tcp_proxy::accept_all() -> task<> {
  auto self = shared_from_this();
  while (true) {
    auto code = boost::system::error_code{};
    auto caller = std::make_shared<socket>(*loop_);
    co_await acceptor_.async_accept(*caller, resume_with(code));
    if (code == asio::error::operation_aborted) {
      co_return;
    }
    if (code || state_ == link_state::resetting) {
      reset(*caller);
      continue;
    }
    start(*loop_, "proxy_connect", connect(caller));
  }
}

auto tcp_proxy::connect(std::shared_ptr<socket> caller) -> task<> {
  auto self = shared_from_this();
  auto connection = next_connection_++;
  auto server = std::make_shared<socket>(*loop_);
  auto code = boost::system::error_code{};
  co_await server->async_connect(target_, resume_with(code));
  if (code) {
    reset(*caller);
    co_return;
  }
  start(*loop_, "proxy_up", carry(caller, server, connection, true));
  start(*loop_, "proxy_down", carry(server, caller, connection, false));
}

auto tcp_proxy::carry(std::shared_ptr<socket> from, std::shared_ptr<socket> to, std::uint64_t connection,
                      bool towards_server) -> task<> {
  auto self = shared_from_this();
  auto buffer = std::array<char, piece_size>{};
  auto code = boost::system::error_code{};
  auto lost = false;  // Bytes are missing: nothing sensible can follow on this connection.
  while (!code) {
    auto read = co_await from->async_read_some(asio::buffer(buffer), resume_with(code));
    if (state_ == link_state::resetting) {
      break;
    }
    lost = lost || connection < silent_before_ || state_ == link_state::silent ||
           (state_ == link_state::answers_lost && !towards_server);
    if (state_ == link_state::slow) {
      co_await pause_for(*loop_, slow_ms);
    }
    if (!code && !lost) {
      co_await asio::async_write(*to, asio::buffer(buffer.data(), read), resume_with(code));
    }
  }
  reset(*from);
  if (connection >= silent_before_) {
    reset(*to);
  }
}

}  // namespace birchlever::soak

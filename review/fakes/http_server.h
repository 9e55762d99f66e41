/// A small HTTP/1.1 server with a thread for each connection.
#pragma once

#include <utility>  // Asio's coroutine support needs it first.

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

/// Returns a response with a body.
inline auto reply(unsigned status, const std::string& body, const std::string& type = "application/json")
    -> response {
  auto made = response{static_cast<http::status>(status), 11};
  made.set(http::field::content_type, type);
  made.body() = body;
  made.prepare_payload();
  return made;
}

/// A connection on which requests are answered.
class server_session {
 public:
  explicit server_session(tcp::socket socket) : socket_{std::move(socket)} {}

  auto socket() -> tcp::socket& { return socket_; }

  /// Sends a response. Returns false if the peer is gone.
  auto write(response answer) -> bool {
    auto code = boost::system::error_code{};
    http::write(socket_, answer, code);
    return !code;
  }

  /// Sends bytes as they are. Returns false if the peer is gone.
  auto write_bytes(const std::string& bytes) -> bool {
    auto code = boost::system::error_code{};
    asio::write(socket_, asio::buffer(bytes), code);
    return !code;
  }

  /// Returns true if the peer closed the connection.
  auto peer_gone() -> bool {
    auto byte = char{};
    auto read = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  tcp::socket socket_;
};

/// Serves until the process ends.
class http_server {
 public:
  /// Answers one request. Returns false to close the connection.
  using handler = std::function<bool(const request&, server_session&)>;

  /// Listens at once. Throws if the address is in use.
  http_server(const std::string& ip, unsigned short port, handler handle)
      : acceptor_{context_, tcp::endpoint{asio::ip::make_address(ip), port}}, handle_{std::move(handle)} {
    std::thread{[this] { accept_all(); }}.detach();
  }

 private:
  auto accept_all() -> void {
    while (true) {
      auto code = boost::system::error_code{};
      auto socket = acceptor_.accept(code);
      if (!code) {
        socket.set_option(tcp::no_delay{true}, code);
        std::thread{[this, moved = std::make_shared<server_session>(std::move(socket))] {
          serve(*moved);
        }}.detach();
      }
    }
  }

  auto serve(server_session& session) -> void {
    constexpr auto max_body = 64U << 20U;
    auto buffer = boost::beast::flat_buffer{};
    auto open = true;
    while (open) {
      auto parser = http::request_parser<http::string_body>{};
      parser.body_limit(max_body);
      auto code = boost::system::error_code{};
      http::read(session.socket(), buffer, parser, code);
      if (code) {
        break;
      }
      open = handle_(parser.get(), session) && parser.get().keep_alive();
    }
    auto ignored = boost::system::error_code{};
    session.socket().close(ignored);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  handler handle_;
};

}  // namespace review

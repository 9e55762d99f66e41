/// The other side of a connection as plain blocking sockets, for tests of what is received in which order.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>

namespace birchlever {

/// A server of one connection, whose receive buffer is small: a long upload that it does not read stalls.
class raw_peer {
 public:
  raw_peer() {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size{4096});
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
  }

  [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint { return acceptor_.local_endpoint(); }

  /// Accepts the connection, which must be open on the other side, or about to be.
  auto accept() -> void { acceptor_.accept(socket_); }

  /// Reads the head of a request, and few bytes beyond it.
  auto read_head() -> std::string {
    auto received = std::string{};
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received), "\r\n\r\n");
    return received;
  }

  auto write(std::string_view bytes) -> void {
    boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()));
  }

  /// Ends this side properly (FIN).
  auto end() -> void { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

  /// Drops the connection (RST).
  auto reset() -> void {
    socket_.set_option(boost::asio::socket_base::linger{true, 0});
    socket_.close();
  }

  /// Closes the connection. The kernel resets it if received bytes were not read.
  auto close() -> void { socket_.close(); }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_{context_};
  boost::asio::ip::tcp::socket socket_{context_};
};

}  // namespace birchlever

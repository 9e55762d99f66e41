/// A server that sends given bytes as the response to one request.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// How a raw server ends its connection.
enum class raw_ending { closed, reset };

/// Serves on a thread of its own. Reads the head of the request only.
class raw_server {
 public:
  explicit raw_server(std::string response, raw_ending ending = raw_ending::closed) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size{4096});
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
    thread_ = std::thread{[this, response = std::move(response), ending] { serve(response, ending); }};
  }

  ~raw_server() { thread_.join(); }

  raw_server(const raw_server&) = delete;
  auto operator=(const raw_server&) -> raw_server& = delete;

  [[nodiscard]] auto address() const -> endpoint { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  auto serve(const std::string& response, raw_ending ending) -> void {
    constexpr auto delay = std::chrono::milliseconds{20};
    auto ignored = boost::system::error_code{};  // The client may close first.
    auto socket = boost::asio::ip::tcp::socket{loop_};
    acceptor_.accept(socket);
    auto request = boost::asio::streambuf{};
    boost::asio::read_until(socket, request, "\r\n\r\n", ignored);
    boost::asio::write(socket, boost::asio::buffer(response), ignored);
    if (ending == raw_ending::reset) {
      std::this_thread::sleep_for(delay);
      socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    } else {
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
      std::this_thread::sleep_for(delay);
    }
    socket.close(ignored);
  }

  boost::asio::io_context loop_;
  boost::asio::ip::tcp::acceptor acceptor_{loop_};
  std::thread thread_;
};

}  // namespace birchlever

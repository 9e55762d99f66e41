/// An upstream that sends given bytes as its response, before or after it has read the request.
#pragma once

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "birchlever/http/task.h"

namespace birchlever::test {

/// What a raw upstream sends and when. `ID` in the response is replaced by the id of the request.
struct raw_response {
  enum class ending {
    reset,
    closed,  ///< The kernel resets the connection if a part of the request was not read.
    ended    ///< Properly; the connection is closed half a second later.
  };
  std::string bytes_;
  bool reads_request_ = true;  ///< Reads the whole request before it responds; otherwise its head only.
  milliseconds ends_after_ = 0;
  ending ending_ = ending::ended;
};

/// Serves on the loop, one request a connection.
class raw_upstream {
 public:
  raw_upstream(event_loop& loop, std::string id, raw_response response)
      : loop_{&loop}, id_{std::move(id)}, response_{std::move(response)}, acceptor_{loop} {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size{4096});  // Uploads that it does not read stall.
    acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
    start(loop, "accept", accept());
  }

  ~raw_upstream() {
    auto ignored = boost::system::error_code{};
    acceptor_.close(ignored);
  }

  raw_upstream(const raw_upstream&) = delete;
  auto operator=(const raw_upstream&) -> raw_upstream& = delete;

  [[nodiscard]] auto port() const -> unsigned short { return acceptor_.local_endpoint().port(); }

  /// Requests received, health checks left out.
  [[nodiscard]] auto requests() const -> int { return requests_; }

 private:
  auto accept() -> task<> {
    while (acceptor_.is_open()) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(*loop_);
      auto code = boost::system::error_code{};
      co_await acceptor_.async_accept(*socket, resume_with(code));
      if (code) {
        co_return;
      }
      start(*loop_, "serve", serve(socket));
    }
  }

  static auto field(const std::string& head, const std::string& name) -> std::string {
    auto at = head.find(name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    auto begin = at + name.size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
  }

  auto serve(std::shared_ptr<asio::ip::tcp::socket> socket) -> task<> {
    constexpr auto half_second = milliseconds{500};
    auto code = boost::system::error_code{};
    auto request = std::string{};
    auto head_size = co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                                     resume_with(code));
    if (code) {
      co_return;
    }
    if (request.find(" /healthz ") != std::string::npos) {
      auto healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: " + id_ + "\r\n\r\n";
      co_await asio::async_write(*socket, asio::buffer(healthy), resume_with(code));
      co_return;
    }
    ++requests_;
    if (response_.reads_request_) {
      auto length = field(request, "Content-Length");
      auto whole = head_size + (length.empty() ? 0 : std::stoul(length));
      auto missing = whole > request.size() ? whole - request.size() : 0;
      co_await asio::async_read(*socket, asio::dynamic_buffer(request), asio::transfer_exactly(missing),
                                resume_with(code));
    }
    auto bytes = response_.bytes_;
    auto place = bytes.find("ID");
    if (place != std::string::npos) {
      bytes.replace(place, 2, field(request, "X-Request-Id"));
    }
    co_await asio::async_write(*socket, asio::buffer(bytes), resume_with(code));
    co_await pause_for(*loop_, response_.ends_after_);
    auto ignored = boost::system::error_code{};  // The gateway may have closed the connection.
    if (response_.ending_ == raw_response::ending::reset) {
      socket->set_option(asio::socket_base::linger{true, 0}, ignored);
    } else if (response_.ending_ == raw_response::ending::ended) {
      socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      co_await pause_for(*loop_, half_second);
    }
    socket->close(ignored);
  }

  event_loop* loop_;
  std::string id_;
  raw_response response_;
  asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
};

}  // namespace birchlever::test

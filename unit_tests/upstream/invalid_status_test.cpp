/// Guards the blocking clients of `serve` against bytes that are no response in the protocol.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/upstream/upstream_exchange.h"

namespace birchlever {
namespace {

namespace net = boost::asio;

constexpr auto wait_limit = milliseconds{2000};

/// Responds to one request with a status line that is written as it is.
class raw_server {
 public:
  explicit raw_server(const std::string& status) {
    thread_ = std::thread{[this, status] {
      auto socket = net::ip::tcp::socket{loop_};
      acceptor_.accept(socket);
      auto request = net::streambuf{};
      net::read_until(socket, request, "\r\n\r\n");
      auto text = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
      net::write(socket, net::buffer(text));
    }};
  }

  ~raw_server() { thread_.join(); }

  raw_server(const raw_server&) = delete;
  auto operator=(const raw_server&) -> raw_server& = delete;

  [[nodiscard]] auto address() const -> endpoint { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  net::io_context loop_;
  net::ip::tcp::acceptor acceptor_{loop_, {net::ip::address_v4::loopback(), 0}};
  std::thread thread_;
};

const auto invalid_statuses = {"000", "001", "099", "101", "600", "999"};

}  // namespace

/// Failure: `serve` takes a response with an invalid status for the answer of an upstream.
TEST_CASE("a streamed exchange with an invalid status is interrupted, its outcome unknown",
          "[invalid_status]") {
  auto pool = value(http_connection_pool::create({}));
  for (const auto* status : invalid_statuses) {
    CAPTURE(status);
    auto server = raw_server{status};
    auto exchange = upstream_exchange::start(pool, {server.address(), "POST", "/", "{}"});
    auto got = exchange->wait_status(wait_limit);
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).ran_ == ran_state::outcome_unknown);
  }
  auto server = raw_server{"404"};
  CHECK(
      value(upstream_exchange::start(pool, {server.address(), "POST", "/", "{}"})->wait_status(wait_limit)) ==
      404);
}

/// Failure: a call of a table service, a VM list or an upstream with an invalid status counts as answered.
TEST_CASE("a blocking call with an invalid status got no response", "[invalid_status]") {
  auto pool = value(http_connection_pool::create({}));
  for (const auto* status : invalid_statuses) {
    CAPTURE(status);
    auto server = raw_server{status};
    auto got = pool->request(server.address(), "POST", "/", "{}");
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).ran_ == ran_state::outcome_unknown);
  }
  auto server = raw_server{"404"};
  CHECK(value(pool->request(server.address(), "POST", "/", "{}")).status_ == 404);
}

}  // namespace birchlever

/// Guards the gateway's memory against large responses that callers do not read.
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include "birchlever/core/memory_budget.h"
#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

constexpr auto response_bytes = std::size_t{8U << 20U};
constexpr auto limit_bytes = std::size_t{16U << 20U};

/// Answers each request with a large response.
auto serve_large(std::shared_ptr<server_connection> connection) -> task<> {
  while (true) {
    auto limits = request_limits{};
    auto read = co_await connection->read_request(limits);
    auto* request = std::get_if<http_request>(&read);
    if (request == nullptr) {
      co_return;
    }
    auto response = http_response{http::status::ok, 11};
    response.set("X-Request-Id", (*request)["X-Request-Id"]);
    response.set("X-Response-Signature", "s");
    response.body() = std::string(response_bytes, 'r');
    response.prepare_payload();
    auto written = co_await connection->write(std::move(response));
    if (!written) {
      co_return;
    }
  }
}

/// Sends a request and reads nothing.
auto open_slow_reader(event_loop& loop, const std::string& address, int number)
    -> std::unique_ptr<asio::ip::tcp::socket> {
  auto socket = std::make_unique<asio::ip::tcp::socket>(loop);
  socket->open(asio::ip::tcp::v4());
  socket->set_option(asio::socket_base::receive_buffer_size{4096});
  socket->connect(value(parse_address(address)));
  auto text = "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow-" + std::to_string(number) +
              "\r\nX-Deadline-Ms: 20000\r\n\r\n";
  asio::write(*socket, asio::buffer(text));
  return socket;
}

}  // namespace

// Guards against one response for each caller that does not read, and against others that wait for these in
// vain.
TEST_CASE("large responses for callers that do not read stay within the memory of the gateway") {
  constexpr auto readers = 12;
  auto fixture = gateway_fixture{};
  fixture.patience_ = 20000;
  fixture.context_->memory_ = memory_budget::create(limit_bytes);
  for (const auto* id : {"tool-1", "tool-2"}) {
    fixture.context_->upstreams_->remove(id);
  }
  auto loopback = std::string{"127.0.0.1:"};
  auto acceptor = asio::ip::tcp::acceptor{fixture.loop_, {asio::ip::address_v4::loopback(), 0}};
  auto port = acceptor.local_endpoint().port();
  acceptor.close();
  auto upstream = http_listener::create(fixture.loop_, loopback + std::to_string(port), serve_large);
  REQUIRE(ok(upstream));
  fixture.add_upstream("large", "tool", port);
  auto sockets = std::vector<std::unique_ptr<asio::ip::tcp::socket>>{};
  for (auto number = 0; number < readers; ++number) {
    sockets.push_back(open_slow_reader(fixture.loop_, fixture.caller_address(), number));
  }
  auto most_held = std::size_t{0};
  CHECK(fixture.run_until([&] {
    most_held = std::max(most_held, fixture.context_->memory_->held());
    return fixture.context_->memory_->revoked() > 0;
  }));
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "20000"}};
  auto answered = fixture.send_to(0, "/safe/a", headers, "");
  CHECK(fixture.run_until(
      [&] {
        most_held = std::max(most_held, fixture.context_->memory_->held());
        return answered->has_value();
      },
      20000));
  CHECK((answered->has_value() && (*answered)->status_ == 200));
  CHECK((answered->has_value() && (*answered)->body_.size() == response_bytes));
  CHECK(most_held <= limit_bytes + response_bytes);  // One at a time may go on beyond the limit.
  CHECK(most_held > 0);
}

}  // namespace birchlever::test

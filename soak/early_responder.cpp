#include "soak/early_responder.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include "birchlever/http/http_message.h"
#include "platform/names.h"

namespace birchlever::soak {
namespace {

namespace names = platform::names;

constexpr auto receive_buffer_bytes = 4096;  // A long request that is not read stalls.
constexpr auto linger_ms = milliseconds{500};
constexpr auto unread_body = std::uint64_t{1} << 40U;

auto parse_head(const std::string& head) -> http_request {
  auto parser = http::request_parser<http::string_body>{};
  auto code = boost::system::error_code{};
  parser.body_limit(unread_body);
  parser.put(asio::buffer(head), code);
  return parser.get();
}

}  // namespace

auto early_responder::draw(std::mt19937_64& random) -> early_response {
  constexpr auto delays = std::array<milliseconds, 4>{0, 5, 20, 200};
  auto drawn = early_response{};
  drawn.whole_ = random() % 3 == 0;
  drawn.status_ = random() % 4 == 0 ? 413 : 200;
  drawn.reads_request_ = random() % 4 == 0;
  drawn.ends_after_ = delays.at(random() % delays.size());
  return drawn;
}

auto early_responder::serve(std::shared_ptr<asio::ip::tcp::socket> socket, early_response response)
    -> task<> {
  auto code = boost::system::error_code{};
  socket->set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, code);
  auto received = std::string{};
  auto head_size =
      co_await asio::async_read_until(*socket, asio::dynamic_buffer(received), "\r\n\r\n", resume_with(code));
  if (!code) {
    co_await respond(*socket, response, received, head_size);
  }
  socket->close(code);
}

auto early_responder::respond(asio::ip::tcp::socket& socket, const early_response& response,
                              const std::string& received, std::size_t head_size) -> task<> {
  auto request = parse_head(received.substr(0, head_size));
  auto code = boost::system::error_code{};
  auto id = std::string{field_of(request, names::request_id)};
  auto health_check = id.empty();
  auto expected = std::string{field_of(request, names::expected_upstream)};
  if (health_check || expected != upstream_) {
    auto answer = std::string{health_check ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 421 Misdirected\r\n"} +
                  names::request_id + ": " + id + "\r\nContent-Length: 0\r\n" +
                  (health_check ? std::string{names::upstream_identity} + ": " + upstream_
                                : std::string{names::not_executed} + ": 1") +
                  "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(answer), resume_with(code));
    co_return;
  }
  auto account = std::string{field_of(request, names::account)};
  if (response.reads_request_) {
    auto body = received.substr(head_size);
    auto length = static_cast<std::size_t>(
        parse_count(field_of(request, "Content-Length")).value_or(static_cast<std::int64_t>(body.size())));
    auto missing = length - std::min(length, body.size());
    co_await asio::async_read(socket, asio::dynamic_buffer(body), asio::transfer_exactly(missing),
                              resume_with(code));
    if (code) {
      co_return;
    }
    ledger_->ran(id, body, upstream_, account);
  } else {
    ledger_->ran_unread(id, upstream_, account);
  }
  auto success = response.status_ == 200;
  auto text = id + (response.whole_ ? ".whole" : ".cut");
  auto body = engine_ && success ? "id: 1\ndata: " + text + "\n\n" : "early response to " + text;
  auto bytes = std::string{success ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 413 Content Too Large\r\n"} +
               names::request_id + ": " + id + "\r\n" + names::response_signature + ": proof-" + id +
               "\r\nContent-Type: text/event-stream\r\n\r\n" + body;
  ledger_->answered(id, body, response.whole_);
  co_await asio::async_write(socket, asio::buffer(bytes), resume_with(code));
  co_await end(socket, response);
}

auto early_responder::end(asio::ip::tcp::socket& socket, const early_response& response) -> task<> {
  auto ignored = boost::system::error_code{};  // The gateway may have closed the connection.
  co_await pause_for(*loop_, response.ends_after_);
  if (response.whole_) {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_await pause_for(*loop_, linger_ms);
  } else {
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
  }
}

}  // namespace birchlever::soak

#include "birchlever/http/server_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/ostream.hpp>

#include "birchlever/core/memory_budget.h"
#include "birchlever/core/memory_claim.h"
#include "birchlever/http/socket_options.h"

namespace birchlever {
namespace {

constexpr auto read_size = std::size_t{8192};             // A usual request fits one read.
constexpr auto read_ahead_limit = std::size_t{65536};     // Of bytes behind the request under way.
constexpr auto linger_limit = milliseconds{1000};         // A peer that still sends gets the answer by then.
constexpr auto peer_silence_limit = milliseconds{10000};  // Unacknowledged bytes for so long: peer is lost.

using head_end = std::string_view;
constexpr auto end_of_head = head_end{"\r\n\r\n"};

/// Folded lines and line feeds without a carriage return are read differently by different programs.
auto head_is_plain(std::string_view head) -> bool {
  for (auto at = head.find('\n'); at != std::string_view::npos; at = head.find('\n', at + 1)) {
    auto after = at + 1 < head.size() ? head[at + 1] : 'x';
    if (at == 0 || head[at - 1] != '\r' || after == ' ' || after == '\t') {
      return false;
    }
  }
  return head.find('\0') == std::string_view::npos;
}

auto count_of(const http::fields& fields, http::field name) -> std::size_t {
  return fields.count(name);
}

/// What Beast's parser lets pass although it leaves doubt where a request ends or whom it addresses.
auto head_is_unambiguous(const http::request_header<>& head) -> bool {
  if (count_of(head, http::field::host) != 1) {
    return false;
  }
  auto codings = count_of(head, http::field::transfer_encoding);
  if (codings == 0) {
    return true;
  }
  return codings == 1 && boost::beast::iequals(head[http::field::transfer_encoding], "chunked") &&
         count_of(head, http::field::content_length) == 0;
}

auto fault_of(const boost::system::error_code& code) -> read_fault {
  if (code == http::error::header_limit) {
    return read_fault::header_too_large;
  }
  if (code == http::error::body_limit) {
    return read_fault::body_too_large;
  }
  return read_fault::malformed;
}

}  // namespace

auto name_of(read_fault fault) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 6>{"closed",         "malformed", "header_too_large",
                                                         "body_too_large", "too_slow",  "no_memory"};
  return names.at(static_cast<std::size_t>(fault));
}

server_connection::server_connection(event_loop& loop, asio::ip::tcp::socket socket)
    : socket_{std::move(socket)}, arrived_{loop}, consumed_{loop} {}

auto server_connection::create(event_loop& loop, asio::ip::tcp::socket socket)
    -> std::shared_ptr<server_connection> {
  set_socket_options(socket, peer_silence_limit);
  auto refused = boost::system::error_code{};
  socket.non_blocking(true, refused);
  if (refused) {
    log_event(log_level::error, "socket_stays_blocking", {{"detail", refused.message()}});
  }
  auto made = std::shared_ptr<server_connection>{new server_connection{loop, std::move(socket)}};
  start(loop, "read_ahead", made->read_ahead());
  return made;
}

auto server_connection::read_ahead() -> task<> {
  auto self = shared_from_this();
  while (!closed_) {
    auto limit = reading_ ? read_ahead_limit : read_size;
    if (buffer_.size() >= limit) {
      co_await consumed_.wait_for(linger_limit);
      continue;
    }
    auto code = boost::system::error_code{};
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read, resume_with(code));
    if (code || closed_) {
      break;
    }
    // Room is prepared only now: a consume() between prepare and commit would move it.
    auto read = socket_.read_some(buffer_.prepare(read_size), code);
    if (code == asio::error::would_block) {
      continue;
    }
    if (code) {
      break;
    }
    buffer_.commit(read);
    arrived_.notify();
  }
  mark_gone();
}

auto server_connection::mark_gone() -> void {
  gone_ = true;
  arrived_.notify();
  if (auto callback = std::exchange(on_gone_, nullptr)) {
    callback();
  }
}

auto server_connection::on_gone(std::function<void()> callback) -> void {
  on_gone_ = std::move(callback);
  if (gone_ && on_gone_) {
    mark_gone();
  }
}

auto server_connection::wait_for_bytes(milliseconds limit) -> task<bool> {
  consumed_.notify();
  if (gone_ || limit <= 0) {
    co_return false;
  }
  co_return co_await arrived_.wait_for(limit);
}

auto server_connection::wait_for_request(milliseconds limit) -> task<bool> {
  while (buffer_.size() == 0) {
    if (gone_ || stop_when_idle_) {
      co_return false;
    }
    auto notified = co_await wait_for_bytes(limit);
    if (!notified && buffer_.size() == 0) {
      co_return false;
    }
  }
  co_return true;
}

auto server_connection::read_request(const request_limits& limits, std::shared_ptr<memory_budget> budget)
    -> task<read_outcome> {
  in_request_ = false;
  auto begun = co_await wait_for_request(limits.idle_timeout_);
  if (!begun) {
    co_return read_fault::closed;
  }
  in_request_ = true;
  reading_ = true;
  auto claim = budget ? budget->open_claim() : nullptr;
  if (claim) {
    claim->allow_revocation([this] { arrived_.notify(); });
  }
  auto read = co_await read_message(limits, claim.get());
  reading_ = false;
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();  // Thousands of connections may be idle.
  }
  co_return read;
}

auto server_connection::read_message(const request_limits& limits, memory_claim* claim)
    -> task<read_outcome> {
  auto clock = steady_clock{};
  auto head_due = clock.now() + limits.header_timeout_;
  auto parser = http::request_parser<http::string_body>{};
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes_));
  parser.body_limit(limits.max_body_bytes_);
  parser.eager(true);
  auto head_checked = false;
  while (!parser.is_done()) {
    auto bytes = std::string_view{static_cast<const char*>(buffer_.data().data()), buffer_.size()};
    if (!parser.is_header_done() && !head_is_plain(bytes.substr(0, bytes.find(end_of_head)))) {
      co_return read_fault::malformed;
    }
    auto code = boost::system::error_code{};
    auto used = bytes.empty() ? 0 : parser.put(buffer_.data(), code);
    buffer_.consume(used);
    if (claim != nullptr) {
      claim->resize(parser.get().body().size() + buffer_.size());
    }
    if (claim != nullptr && claim->revoked()) {
      co_return read_fault::no_memory;
    }
    if (code && code != http::error::need_more) {
      co_return fault_of(code);
    }
    if (parser.is_header_done() && !std::exchange(head_checked, true)) {
      if (!head_is_unambiguous(parser.get().base())) {
        co_return read_fault::malformed;
      }
      if (!parser.is_done() && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        auto text = std::string{"HTTP/1.1 100 Continue\r\n\r\n"};
        co_await asio::async_write(socket_, asio::buffer(text), resume_with(code));
      }
    }
    if (parser.is_done() || (used > 0 && buffer_.size() > 0)) {
      continue;
    }
    auto patience = head_checked ? limits.idle_timeout_ : head_due - clock.now();
    auto notified = co_await wait_for_bytes(patience);
    if (claim != nullptr && claim->revoked()) {
      co_return read_fault::no_memory;
    }
    if (!notified) {
      co_return gone_ ? read_fault::closed : read_fault::too_slow;
    }
  }
  consumed_.notify();
  co_return parser.release();
}

auto server_connection::write(http_response answer) -> task<bool> {
  auto self = shared_from_this();
  auto code = boost::system::error_code{};
  if (!closed_) {
    co_await http::async_write(socket_, answer, resume_with(code));
  }
  co_return !closed_ && !code;
}

auto server_connection::write_head(http_response head) -> task<bool> {
  auto self = shared_from_this();
  auto code = boost::system::error_code{};
  head.chunked(true);
  auto serializer = http::response_serializer<http::string_body>{head};
  if (!closed_) {
    co_await http::async_write_header(socket_, serializer, resume_with(code));
  }
  co_return !closed_ && !code;
}

auto server_connection::write_piece(std::string_view piece) -> task<bool> {
  auto self = shared_from_this();
  auto code = boost::system::error_code{};
  if (!closed_) {
    co_await asio::async_write(socket_, http::make_chunk(asio::buffer(piece.data(), piece.size())),
                               resume_with(code));
  }
  co_return !closed_ && !code;
}

auto server_connection::write_end() -> task<bool> {
  auto self = shared_from_this();
  auto code = boost::system::error_code{};
  if (!closed_) {
    co_await asio::async_write(socket_, http::make_chunk_last(), resume_with(code));
  }
  co_return !closed_ && !code;
}

auto server_connection::close() -> void {
  closed_ = true;
  auto ignored = boost::system::error_code{};  // Closing a socket that is closed already is no failure.
  socket_.close(ignored);
  consumed_.notify();
  arrived_.notify();
}

auto server_connection::linger_and_close() -> task<> {
  auto self = shared_from_this();
  auto clock = steady_clock{};
  auto until = clock.now() + linger_limit;
  auto ignored = boost::system::error_code{};  // The peer may have left already.
  if (!closed_) {
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  while (!gone_ && !closed_ && clock.now() < until) {
    buffer_.consume(buffer_.size());
    co_await wait_for_bytes(until - clock.now());
  }
  close();
}

auto server_connection::stop_when_idle() -> void {
  stop_when_idle_ = true;
  arrived_.notify();
}

}  // namespace birchlever

#include "birchlever/http/outgoing_connection.h"

#include <array>
#include <boost/beast/core/read_size.hpp>
#include <limits>

#include "birchlever/http/folded_line_scan.h"
#include "birchlever/http/socket_options.h"

namespace birchlever {
namespace {

constexpr auto peer_silence_limit = milliseconds{4000};  // Unacknowledged bytes for so long: peer is lost.
constexpr auto standard_keep_alive =
    milliseconds{4000};  // When the peer names none; servers' usual least is 5 s.
constexpr auto no_limit = std::numeric_limits<std::uint64_t>::max();  // Readers bound what they keep.
constexpr auto most_header_bytes = std::uint32_t{65536};
constexpr auto most_interim = 16;  // Interim responses before one final response.
// Of received bytes that are not parsed yet: a header, or a line between chunks, which may have no end.
constexpr auto most_unparsed_bytes = std::size_t{2} * most_header_bytes;
constexpr auto most_read_bytes = std::size_t{65536};  // At once, of a header.
constexpr auto most_logged_bytes = std::size_t{64};   // Of a field's value.

}  // namespace

auto name_of(exchange_fault fault) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 6>{"not_connected", "closed_unasked", "broken",
                                                         "malformed",     "timed_out",      "aborted"};
  return names.at(static_cast<std::size_t>(fault));
}

outgoing_connection::outgoing_connection(event_loop& loop, milliseconds keep_alive)
    : loop_{&loop},
      socket_{loop},
      deadline_{loop},
      buffer_{most_unparsed_bytes},
      keep_alive_{keep_alive},
      write_ended_{loop} {}

auto outgoing_connection::open(event_loop& loop, const asio::ip::tcp::endpoint& address, milliseconds limit)
    -> task<exchanged<std::shared_ptr<outgoing_connection>>> {
  auto made = std::shared_ptr<outgoing_connection>{new outgoing_connection{loop, standard_keep_alive}};
  made->arm(limit);
  auto code = boost::system::error_code{};
  co_await made->socket_.async_connect(address, resume_with(code));
  made->deadline_.cancel();
  if (code || made->timed_out_) {
    co_return exchange_fault::not_connected;
  }
  set_socket_options(made->socket_, peer_silence_limit);
  made->peer_ = address.address().to_string() + ":" + std::to_string(address.port());
  co_return made;
}

auto outgoing_connection::arm(milliseconds time_left) -> void {
  deadline_.expires_after(std::chrono::milliseconds{std::max<milliseconds>(time_left, 0)});
  deadline_.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
    auto self = weak.lock();
    if (code || !self) {
      return;
    }
    self->timed_out_ = true;
    self->abort();
  });
}

auto outgoing_connection::abort() -> void {
  aborted_ = true;
  auto ignored = boost::system::error_code{};  // It may be closed already.
  socket_.close(ignored);
  deadline_.cancel();
}

auto outgoing_connection::fault_of(const boost::system::error_code& code) const -> exchange_fault {
  if (timed_out_) {
    return exchange_fault::timed_out;
  }
  if (aborted_) {
    return exchange_fault::aborted;
  }
  auto protocol = code.category() == http::make_error_code(http::error::need_more).category();
  if (protocol) {
    log_event(log_level::debug, "answer_ended", {{"detail", code.message()}, {"begun", answer_begun_}});
  }
  if (protocol && code != http::error::partial_message && code != http::error::end_of_stream) {
    return exchange_fault::malformed;
  }
  return answer_begun_ ? exchange_fault::broken : exchange_fault::closed_unasked;
}

auto outgoing_connection::renew_parser() -> void {
  parser_ = std::make_unique<http::response_parser<http::string_body>>();
  parser_->header_limit(most_header_bytes);
  parser_->body_limit(no_limit);
  parser_->eager(true);
  parser_->skip(head_request_);
}

auto outgoing_connection::send(std::shared_ptr<const http_request> request, milliseconds time_left) -> void {
  ++exchanges_;
  writing_ = true;
  whole_ = false;
  answer_begun_ = false;
  head_request_ = request->method() == http::verb::head;
  had_head_request_ = had_head_request_ || head_request_;
  renew_parser();
  arm(time_left);
  start(*loop_, "write_request", write_request(std::move(request)));
}

auto outgoing_connection::write_request(std::shared_ptr<const http_request> request) -> task<> {
  auto self = shared_from_this();
  auto code = boost::system::error_code{};
  co_await http::async_write(socket_, *request, resume_with(code));
  writing_ = false;
  write_error_ = code;
  write_ended_.notify();
}

// A socket reports a failure of its connection once, to whichever call comes next; after that, reads end as
// if the peer had ended the connection. If the writer got the error, only it can tell.
auto outgoing_connection::find_fault_of_end() -> task<std::optional<exchange_fault>> {
  if (is_ended_by_peer(socket_)) {
    co_return std::nullopt;
  }
  // The connection is down, so the writer ends without delay.
  if (writing_) {
    co_await write_ended_.wait_for(peer_silence_limit);
  }
  // On Linux the error is EPIPE if the peer ended its side properly before the connection failed.
  auto ended_before = !write_error_ || write_error_ == asio::error::broken_pipe;
  if (!writing_ && !aborted_ && ended_before) {
    co_return std::nullopt;
  }
  if (!aborted_) {
    log_event(log_level::info, "response_reset", {{"address", peer_}, {"detail", write_error_.message()}});
  }
  co_return fault_of(asio::error::connection_reset);
}

auto outgoing_connection::parse_head() -> task<std::optional<exchange_fault>> {
  auto code = boost::system::error_code{};
  auto scan = folded_line_scan{};
  auto scanned = std::size_t{0};  // Of the bytes in the buffer.
  parser_->eager(false);
  while (true) {
    auto received = buffer_.cdata();
    answer_begun_ = answer_begun_ || received.size() > 0;
    scan.feed(std::string_view{static_cast<const char*>(received.data()), received.size()}.substr(scanned));
    if (scan.found()) {
      log_event(log_level::info, "response_line_folded", {{"address", peer_}});
      co_return exchange_fault::malformed;
    }
    auto used = parser_->put(received, code);
    buffer_.consume(used);
    scanned = received.size() - used;
    if (code && code != http::error::need_more) {
      co_return fault_of(code);
    }
    if (parser_->is_header_done()) {
      co_return std::nullopt;
    }
    auto room = buffer_.prepare(boost::beast::read_size(buffer_, most_read_bytes));
    auto read = co_await socket_.async_read_some(room, resume_with(code));
    if (code) {
      co_return fault_of(code);
    }
    buffer_.commit(read);
  }
}

auto outgoing_connection::read_head() -> task<exchanged<http_response>> {
  auto self = shared_from_this();
  auto kind = status_kind::interim;
  for (auto responses = 0; kind == status_kind::interim; ++responses) {
    auto fault = co_await parse_head();
    if (fault) {
      co_return *fault;
    }
    auto status = parser_->get().result_int();
    kind = kind_of_status(status);
    if (kind == status_kind::invalid || (kind == status_kind::interim && responses == most_interim)) {
      log_event(log_level::info, "response_status_invalid",
                {{"address", peer_}, {"status", std::int64_t{status}}, {"interim", std::int64_t{responses}}});
      co_return exchange_fault::malformed;
    }
    if (kind == status_kind::interim) {
      renew_parser();
    }
  }
  const auto& fields = parser_->get().base();
  auto body_follows = !head_request_ && !has_no_body(fields);
  if (body_follows && !has_readable_body(fields)) {
    auto coding = field_of(fields, "Transfer-Encoding").substr(0, most_logged_bytes);
    log_event(log_level::info, "response_coding_unsupported",
              {{"address", peer_}, {"coding", std::string{coding}}});
    co_return exchange_fault::malformed;
  }
  keep_alive_ = keep_alive_ms(parser_->get()).value_or(standard_keep_alive);
  auto head = http_response{};
  head.base() = parser_->get().base();
  co_return head;
}

auto outgoing_connection::read_piece() -> task<exchanged<body_piece>> {
  auto self = shared_from_this();
  auto piece = body_piece{};
  while (piece.bytes_.empty() && !parser_->is_done()) {
    auto code = boost::system::error_code{};
    if (parser_->get().body().empty()) {
      co_await http::async_read_some(socket_, buffer_, *parser_, resume_with(code));
    }
    if (code) {
      co_return fault_of(code);
    }
    piece.bytes_ = std::exchange(parser_->get().body(), {});
  }
  if (piece.bytes_.empty()) {
    piece.bytes_ = std::exchange(parser_->get().body(), {});
  }
  if (parser_->is_done()) {
    auto fault = std::optional<exchange_fault>{};
    if (parser_->need_eof()) {
      fault = co_await find_fault_of_end();
    }
    if (fault) {
      co_return *fault;
    }
    whole_ = true;
    piece.last_ = true;
    deadline_.cancel();
  }
  co_return piece;
}

auto outgoing_connection::read_rest(std::size_t most) -> task<exchanged<std::string>> {
  auto all = std::string{};
  while (true) {
    auto read = co_await read_piece();
    if (auto* fault = std::get_if<exchange_fault>(&read)) {
      co_return *fault;
    }
    auto& piece = std::get<body_piece>(read);
    all += piece.bytes_;
    if (all.size() > most) {
      abort();
      co_return exchange_fault::malformed;
    }
    if (piece.last_) {
      co_return all;
    }
  }
}

auto outgoing_connection::may_skip_response() const -> bool {
  auto earlier_exchanges = exchanges_ - 1;
  return skipped_ < earlier_exchanges && !had_head_request_;
}

auto outgoing_connection::skip_response(std::size_t most) -> task<std::optional<exchange_fault>> {
  auto expiry = deadline_.expiry();
  auto rest = co_await read_rest(most);
  if (auto* fault = std::get_if<exchange_fault>(&rest)) {
    co_return *fault;
  }
  ++skipped_;
  whole_ = false;
  answer_begun_ = false;
  renew_parser();
  auto time_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(expiry - std::chrono::steady_clock::now());
  arm(time_left.count());
  co_return std::nullopt;
}

auto outgoing_connection::reusable() const -> bool {
  return whole_ && !writing_ && !aborted_ && !write_error_ && parser_->get().keep_alive() &&
         !parser_->get().need_eof() && buffer_.size() == 0;
}

auto outgoing_connection::spoiled() -> bool {
  return aborted_ || !socket_.is_open() || has_unasked_input(socket_);
}

}  // namespace birchlever

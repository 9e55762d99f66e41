/// The side of an HTTP/1.1 connection that asks: one request at a time, its answer read piece by piece.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "birchlever/core/result.h"
#include "birchlever/http/http_message.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Why an exchange on a connection ended early.
enum class exchange_fault {
  not_connected,   ///< Nothing was sent.
  closed_unasked,  ///< The connection ended before any byte of an answer.
  broken,          ///< The answer ended before its end.
  malformed,       ///< The bytes are not an answer in the protocol.
  timed_out,       ///< The time given was over.
  aborted,         ///< Our own side closed it.
};

/// The stable name of a fault.
[[nodiscard]] auto name_of(exchange_fault fault) -> std::string_view;

/// Success, or what went wrong on the connection.
template <class T>
using exchanged = std::variant<T, exchange_fault>;

/// A piece of an answer's body.
struct body_piece {
  std::string bytes_;
  bool last_ = false;  ///< The body is whole with this piece.
};

/// One connection to an upstream, the store or a peer. For coroutines of one loop; kept alive by its user and
/// by its own writer.
class outgoing_connection : public std::enable_shared_from_this<outgoing_connection> {
 public:
  /// Connects within the limit.
  static auto open(event_loop& loop, const asio::ip::tcp::endpoint& address, milliseconds limit)
      -> task<exchanged<std::shared_ptr<outgoing_connection>>>;

  /// Starts an exchange: writes the request beside reading, since a server may answer before it has read a
  /// long body. The deadline holds for the whole exchange.
  auto send(std::shared_ptr<const http_request> request, milliseconds time_left) -> void;

  /// Reads the answer's head, after any interim answers. A status that ends no answer in the protocol, a
  /// folded line, and a transfer coding other than chunked are malformed.
  auto read_head() -> task<exchanged<http_response>>;

  /// Reads the next piece of the body. A body without a length is whole only if the peer ended the connection
  /// properly; if it was reset, it is broken.
  auto read_piece() -> task<exchanged<body_piece>>;

  /// Reads what is left of the body, up to `most` bytes (malformed beyond that).
  auto read_rest(std::size_t most) -> task<exchanged<std::string>>;

  /// True when the response whose head was read last may answer an earlier request on this connection, and
  /// its end can be found, so that the response to the present request can be read after it. The end cannot
  /// be found once a HEAD request was sent: its responses announce a body that does not follow.
  [[nodiscard]] auto may_skip_response() const -> bool;

  /// Reads and discards what is left of a response to an earlier request, up to `most` bytes. The head of the
  /// next response can be read then; the deadline of the exchange stays.
  auto skip_response(std::size_t most) -> task<std::optional<exchange_fault>>;

  /// True when the exchange is over and another may follow on this connection.
  [[nodiscard]] auto reusable() const -> bool;

  /// How long the peer keeps the connection when idle, in ms.
  [[nodiscard]] auto keep_alive() const -> milliseconds { return keep_alive_; }

  /// True when a kept connection was closed by the peer or carries bytes nobody asked for.
  [[nodiscard]] auto spoiled() -> bool;

  /// True when this connection has carried an exchange before the present one.
  [[nodiscard]] auto reused() const -> bool { return exchanges_ > 1; }

  /// Closes at once; what waits on it ends with `aborted`.
  auto abort() -> void;

 private:
  outgoing_connection(event_loop& loop, milliseconds standard_keep_alive);

  /// Receives and parses the head of one response, interim or final.
  auto parse_head() -> task<std::optional<exchange_fault>>;

  auto write_request(std::shared_ptr<const http_request> request) -> task<>;

  /// Returns what broke a connection whose end was read, or nothing if the peer ended it properly.
  auto find_fault_of_end() -> task<std::optional<exchange_fault>>;
  auto fault_of(const boost::system::error_code& code) const -> exchange_fault;
  auto arm(milliseconds time_left) -> void;
  auto renew_parser() -> void;

  event_loop* loop_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer deadline_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<http::response_parser<http::string_body>> parser_;
  std::string peer_;  ///< Address and port, for logs.
  milliseconds keep_alive_;
  int exchanges_ = 0;
  int skipped_ = 0;  ///< Responses skipped so far.
  bool writing_ = false;
  boost::system::error_code write_error_;
  loop_signal write_ended_;
  bool whole_ = false;
  bool timed_out_ = false;
  bool aborted_ = false;
  bool answer_begun_ = false;
  bool head_request_ = false;
  bool had_head_request_ = false;
};

}  // namespace birchlever

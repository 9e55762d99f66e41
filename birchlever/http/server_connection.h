/// The side of an HTTP/1.1 connection that answers: strict reading, whole answers and streams.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <variant>

#include "birchlever/core/result.h"
#include "birchlever/http/http_message.h"
#include "birchlever/http/loop_signal.h"

namespace birchlever {

class memory_budget;
class memory_claim;

/// What a peer may send and how long it may take. Set by the operators' configuration.
struct request_limits {
  std::size_t max_header_bytes_ = 16384;
  std::size_t max_body_bytes_ = 4194304;
  milliseconds header_timeout_ = 3000;  ///< From the first byte of a head to its end.
  milliseconds idle_timeout_ = 15000;   ///< Between two requests, and between two pieces of a body.
};

/// Why there is no request.
enum class read_fault {
  closed,
  malformed,
  header_too_large,
  body_too_large,
  too_slow,
  no_memory  ///< The memory budget was exceeded, and this request held most for longest without progress.
};

/// The stable name of a fault.
[[nodiscard]] auto name_of(read_fault fault) -> std::string_view;

/// A request, or why there is none.
using read_outcome = std::variant<http_request, read_fault>;

/// One accepted connection. Used by one coroutine at a time, beside its own reader. Reading goes on while a
/// request is under way, so that a peer that leaves is noticed at once.
class server_connection : public std::enable_shared_from_this<server_connection> {
 public:
  /// Takes over an accepted socket and begins to read.
  static auto create(event_loop& loop, asio::ip::tcp::socket socket) -> std::shared_ptr<server_connection>;

  /// Reads one request. Two lengths, a length beside chunks, folded lines, unknown codings: malformed. What
  /// has been received of it is claimed from `budget`, which may be null.
  auto read_request(const request_limits& limits, std::shared_ptr<memory_budget> budget = nullptr)
      -> task<read_outcome>;

  /// Writes a whole answer. False when the peer is gone.
  auto write(http_response answer) -> task<bool>;

  /// Writes the head of an answer whose body follows in chunks. False when the peer is gone.
  auto write_head(http_response head) -> task<bool>;

  /// Writes one piece of a chunked body. False when the peer is gone.
  auto write_piece(std::string_view piece) -> task<bool>;

  /// Ends a chunked body as complete. False when the peer is gone.
  auto write_end() -> task<bool>;

  /// Calls back when the peer leaves, at once if it has left already. An empty function takes that back.
  auto on_gone(std::function<void()> callback) -> void;

  /// True when the peer has closed or reset.
  [[nodiscard]] auto gone() const -> bool { return gone_; }

  /// True while nothing of a next request has come.
  [[nodiscard]] auto idle() const -> bool { return !in_request_ && buffer_.size() == 0; }

  /// Closes at once. A chunked body that was not ended stays visibly incomplete.
  auto close() -> void;

  /// Ends our side, then reads and drops what still comes for a moment, so that the answer is not lost to a
  /// reset.
  auto linger_and_close() -> task<>;

  /// Wakes a read_request that waits between two requests, which then yields `closed`.
  auto stop_when_idle() -> void;

 private:
  server_connection(event_loop& loop, asio::ip::tcp::socket socket);

  auto read_ahead() -> task<>;
  auto wait_for_bytes(milliseconds limit) -> task<bool>;
  auto wait_for_request(milliseconds limit) -> task<bool>;
  auto read_message(const request_limits& limits, memory_claim* claim) -> task<read_outcome>;
  auto mark_gone() -> void;

  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  loop_signal arrived_;   ///< Bytes came, the peer left, or stopping was asked for.
  loop_signal consumed_;  ///< There is room in the buffer again.
  std::function<void()> on_gone_;
  bool gone_ = false;
  bool closed_ = false;
  bool in_request_ = false;
  bool reading_ = false;  ///< A request is being received.
  bool stop_when_idle_ = false;
};

}  // namespace birchlever

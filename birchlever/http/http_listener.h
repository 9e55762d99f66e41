/// Accepts connections on an address and hands each to a coroutine.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

class connection_limit;

/// Reads "ip:port". Failures: invalid_setting.
[[nodiscard]] auto parse_address(const std::string& text) -> result<asio::ip::tcp::endpoint>;

/// For the event loop's thread.
class http_listener : public std::enable_shared_from_this<http_listener> {
 public:
  /// Serves one connection until it ends.
  using serve_function = std::function<task<>(std::shared_ptr<server_connection>)>;

  /// Listens at once. While `has_room` is set and false, connections wait to be accepted. Failures:
  /// invalid_setting, or address_unavailable if the address may be free later.
  static auto create(event_loop& loop, const std::string& address, serve_function serve,
                     std::function<bool()> has_room = nullptr) -> result<std::shared_ptr<http_listener>>;

  /// Takes no more connections.
  auto stop() -> void;

 private:
  http_listener(event_loop& loop, serve_function serve, std::function<bool()> has_room);

  auto accept_all() -> task<>;
  auto wait_for_room() -> task<>;
  auto log_failed_accept(const boost::system::error_code& code) -> void;

  event_loop* loop_;
  asio::ip::tcp::acceptor acceptor_;
  serve_function serve_;
  std::function<bool()> has_room_;
  steady_clock clock_;
  std::int64_t failed_accepts_ = 0;  ///< Since the last line about them.
  milliseconds next_report_at_ = 0;
  bool stopped_ = false;
};

/// Answers one request of a page server. The request lives until the answer is there.
using page_function = std::function<task<http_response>(const http_request&)>;

/// A serve_function for pages: metrics, readiness, a peer's calls. What is received is claimed from `budget`,
/// and connections count towards `limit`; both may be null.
[[nodiscard]] auto serve_pages(page_function page, std::shared_ptr<memory_budget> budget = nullptr,
                               std::shared_ptr<connection_limit> limit = nullptr)
    -> http_listener::serve_function;

}  // namespace birchlever

/// Accepts connections on an address and hands each to a coroutine.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "birchlever/core/result.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

/// Reads "ip:port". Failures: invalid_setting.
[[nodiscard]] auto parse_address(const std::string& text) -> result<asio::ip::tcp::endpoint>;

/// For the event loop's thread.
class http_listener : public std::enable_shared_from_this<http_listener> {
 public:
  /// Serves one connection until it ends.
  using serve_function = std::function<task<>(std::shared_ptr<server_connection>)>;

  /// Listens at once. Failures: invalid_setting, or address_unavailable if the address may be free later.
  static auto create(event_loop& loop, const std::string& address, serve_function serve)
      -> result<std::shared_ptr<http_listener>>;

  /// Takes no more connections.
  auto stop() -> void;

 private:
  http_listener(event_loop& loop, serve_function serve);

  auto accept_all() -> task<>;

  event_loop* loop_;
  asio::ip::tcp::acceptor acceptor_;
  serve_function serve_;
  bool stopped_ = false;
};

/// Answers one request of a page server. The request lives until the answer is there.
using page_function = std::function<task<http_response>(const http_request&)>;

/// A serve_function for pages: metrics, readiness, a peer's calls. What is received is claimed from `budget`,
/// which may be null.
[[nodiscard]] auto serve_pages(page_function page, std::shared_ptr<memory_budget> budget = nullptr)
    -> http_listener::serve_function;

}  // namespace birchlever

/// Pool of keep-alive HTTP connections to the platform and to upstreams.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"

namespace httplib {
class Client;
}

namespace birchlever {

/// Status and body of an HTTP response.
struct buffered_response {
  int status_ = 0;
  std::string body_;
};

/// An IP address and a port.
struct endpoint {
  std::string host_;
  int port_ = 0;

  /// Returns "host:port", which also names the link in test switches.
  [[nodiscard]] auto text() const -> std::string { return host_ + ":" + std::to_string(port_); }
};

/// Parses "host:port". Failures: invalid_setting.
[[nodiscard]] auto parse_endpoint(const std::string& text) -> result<endpoint>;

/// Settings of a connection pool. Times in ms.
struct http_pool_settings {
  milliseconds connect_timeout_ = 500;
  milliseconds response_timeout_ = 2000;
  std::size_t idle_per_endpoint_ = 32;
};

/// Pools idle connections per endpoint. Thread safe. Requests fail with upstream_refused if they were not
/// sent, or with upstream_timeout and outcome_unknown if they may have been processed.
class http_connection_pool {
 public:
  /// Creates an empty pool. A link name, if given, names the links to all endpoints in test switches.
  /// Failures: invalid_setting.
  static auto create(const http_pool_settings& settings, std::string link_name = {})
      -> result<std::shared_ptr<http_connection_pool>>;

  ~http_connection_pool();

  /// Sends a request with a JSON body, or none if it is empty, and waits for the complete response.
  auto request(const endpoint& target, const std::string& method, const std::string& path,
               const std::string& body, const std::map<std::string, std::string>& headers = {})
      -> result<buffered_response>;

  /// Removes an idle connection from the pool, or creates one, for a streamed exchange.
  auto acquire(const endpoint& target) -> result<std::unique_ptr<httplib::Client>>;

  /// Returns a connection to the pool. It must have no response pending.
  auto release(const endpoint& target, std::unique_ptr<httplib::Client> client) -> void;

  /// Closes the idle connections to an endpoint. To be called when a request got no response: what silently
  /// drops the packets of one established connection may do so for all of them, while new ones work.
  auto forget(const endpoint& target) -> void;

 private:
  http_connection_pool(const http_pool_settings& settings, std::string link_name);

  [[nodiscard]] auto link_of(const endpoint& target) const -> std::string;

  http_pool_settings settings_;
  std::string link_name_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

}  // namespace birchlever

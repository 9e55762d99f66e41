/// Kept-alive HTTP connections to the platform and to upstreams, shared by threads.
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

/// An HTTP answer, with only what the system reads of it.
struct http_answer {
  int status_ = 0;
  std::string body_;
};

/// An IP number and a port.
struct endpoint {
  std::string host_;
  int port_ = 0;

  /// "host:port", also the link's name for test switches.
  [[nodiscard]] auto text() const -> std::string { return host_ + ":" + std::to_string(port_); }
};

/// Reads "host:port". Failures: invalid_setting.
[[nodiscard]] auto parse_endpoint(const std::string& text) -> result<endpoint>;

/// How connections behave. Times in milliseconds.
struct http_pool_settings {
  milliseconds connect_timeout_ = 500;
  milliseconds answer_timeout_ = 2000;
  std::size_t idle_per_endpoint_ = 32;
};

/// Lends connections and takes them back. Failures of requests: upstream_refused (surely not sent) and
/// upstream_timeout with outcome_unknown (may have been taken in).
class http_connection_pool {
 public:
  /// Checks the settings and makes an empty pool. The link name, if any, stands for all endpoints in tests.
  static auto create(const http_pool_settings& settings, std::string link_name = {})
      -> result<std::shared_ptr<http_connection_pool>>;

  ~http_connection_pool();

  /// Sends a request with a JSON body (none when empty) and waits for the whole answer.
  auto request(const endpoint& target, const std::string& method, const std::string& path,
               const std::string& body, const std::map<std::string, std::string>& headers = {})
      -> result<http_answer>;

  /// Takes a connection out of the pool for a streamed exchange.
  auto borrow(const endpoint& target) -> result<std::unique_ptr<httplib::Client>>;

  /// Gives a connection back that is in a clean state.
  auto give_back(const endpoint& target, std::unique_ptr<httplib::Client> client) -> void;

 private:
  http_connection_pool(const http_pool_settings& settings, std::string link_name);

  [[nodiscard]] auto link_of(const endpoint& target) const -> std::string;

  http_pool_settings settings_;
  std::string link_name_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

}  // namespace birchlever

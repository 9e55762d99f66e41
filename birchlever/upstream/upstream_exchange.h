/// HTTP exchange with an upstream, with a streamed response.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// Request to an upstream.
struct upstream_request {
  endpoint target_;
  std::string method_ = "POST";
  std::string path_;
  std::string body_;
  std::string content_type_ = "application/json";
  std::map<std::string, std::string> headers_;
};

/// Chunk of a response body, or its end.
struct response_chunk {
  std::string bytes_;
  bool end_ = false;
};

/// Runs the blocking HTTP request on its own thread. Chunks pass through a bounded queue, which applies
/// backpressure to the upstream if the reader is slow.
class upstream_exchange {
 public:
  /// Starts sending the request.
  static auto start(std::shared_ptr<http_connection_pool> pool, upstream_request request)
      -> std::unique_ptr<upstream_exchange>;

  /// Cancels the exchange and joins its thread.
  ~upstream_exchange();

  upstream_exchange(const upstream_exchange&) = delete;
  auto operator=(const upstream_exchange&) -> upstream_exchange& = delete;

  /// Waits for the HTTP status. Failures: upstream_refused (request not sent), upstream_timeout and
  /// upstream_failed (both outcome_unknown).
  auto wait_status(milliseconds timeout) -> result<int>;

  /// Waits for the next chunk. Failures: upstream_timeout, upstream_failed (response interrupted).
  auto next(milliseconds timeout) -> result<response_chunk>;

  /// Returns the remaining response body. Failures: as next().
  auto read_all(milliseconds timeout) -> result<std::string>;

  /// Content type of the response; valid after wait_status().
  [[nodiscard]] auto content_type() const -> std::string;

  /// Cancels the exchange and closes the connection.
  auto cancel() -> void;

 private:
  upstream_exchange() = default;
  auto run(const std::shared_ptr<http_connection_pool>& pool, const upstream_request& request) -> void;
  auto on_status(int status, std::string content_type) -> void;
  auto on_bytes(const char* bytes, std::size_t length) -> bool;
  auto finish(std::unique_ptr<error> cause) -> void;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> chunks_;
  int status_ = 0;
  std::string content_type_;
  bool finished_ = false;
  bool cancelled_ = false;
  std::unique_ptr<error> error_;
  std::thread thread_;
};

}  // namespace birchlever

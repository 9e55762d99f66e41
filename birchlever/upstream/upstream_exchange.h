/// One request to an upstream, answered piece by piece.
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

/// What to send.
struct upstream_request {
  endpoint target_;
  std::string method_ = "POST";
  std::string path_;
  std::string body_;
  std::string content_type_ = "application/json";
  std::map<std::string, std::string> headers_;
};

/// A piece of an answer, or its end.
struct upstream_piece {
  std::string bytes_;
  bool end_ = false;
};

/// Runs the request on a thread of its own, since the HTTP library blocks; the reader pulls. The queue
/// between them is bounded, so a slow caller slows its upstream instead of filling memory.
class upstream_exchange {
 public:
  /// Sends the request now.
  static auto start(std::shared_ptr<http_connection_pool> pool, upstream_request request)
      -> std::unique_ptr<upstream_exchange>;

  /// Cancels what still runs and waits for the thread.
  ~upstream_exchange();

  upstream_exchange(const upstream_exchange&) = delete;
  auto operator=(const upstream_exchange&) -> upstream_exchange& = delete;

  /// The answer's HTTP status. Failures: upstream_refused (surely not taken in), upstream_timeout and
  /// upstream_failed (outcome_unknown).
  auto wait_status(milliseconds patience) -> result<int>;

  /// The next piece. Failures: upstream_timeout, upstream_failed (the stream broke off).
  auto next(milliseconds patience) -> result<upstream_piece>;

  /// The rest of the answer as one text.
  auto read_all(milliseconds patience) -> result<std::string>;

  /// The answer's content type; valid after wait_status.
  [[nodiscard]] auto content_type() const -> std::string;

  /// Lets go of the upstream; it sees its connection closed.
  auto cancel() -> void;

 private:
  upstream_exchange() = default;
  auto run(const std::shared_ptr<http_connection_pool>& pool, const upstream_request& request) -> void;
  auto on_status(int status, std::string content_type) -> void;
  auto on_bytes(const char* bytes, std::size_t length) -> bool;
  auto finish(std::unique_ptr<error> fault) -> void;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::string> pieces_;
  int status_ = 0;
  std::string content_type_;
  bool finished_ = false;
  bool cancelled_ = false;
  std::unique_ptr<error> fault_;
  std::thread thread_;
};

}  // namespace birchlever

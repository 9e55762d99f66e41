/// Stops an HTTP server without closing connections whose request it has not read.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// httplib::Server::stop() resets connections in the accept queue and closes accepted ones before it reads
/// their first request. Their callers cannot tell whether the request ran.
class connection_drain {
 public:
  /// Sets the server's task queue, socket options and pre-routing handler. Must be called before the server
  /// binds, and must outlive the server's threads.
  connection_drain(httplib::Server& server, std::size_t threads);

  /// Admits no new connections and waits until the server has read the first request of every connection it
  /// has, for at most `max_wait`. `host` and `port` are the address that the server listens on.
  auto finish(const std::string& host, int port, milliseconds max_wait) -> void;

 private:
  class counting_pool;

  auto admit_only(std::uint16_t source_port) const -> void;

  socket_t listener_ = -1;
  std::atomic<std::int64_t> unread_{0};  ///< Accepted connections whose first request has not been read.
};

}  // namespace birchlever

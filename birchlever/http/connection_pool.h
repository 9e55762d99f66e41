/// Idle outgoing connections by address, youngest first.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "birchlever/http/outgoing_connection.h"

namespace birchlever {

/// How idle connections are kept.
struct connection_pool_settings {
  std::size_t most_idle_ = 8;  ///< Connections kept an address.
  milliseconds connect_limit_ =
      700;  ///< ms for a new connection; more than a retransmitted SYN costs little.
  milliseconds keep_alive_margin_ =
      1000;  ///< ms before the peer's own limit at which a connection is dropped.
};

/// For coroutines of one loop.
class connection_pool {
 public:
  /// A pool on the loop. Its users outlive neither.
  static auto create(event_loop& loop, const connection_pool_settings& settings)
      -> std::shared_ptr<connection_pool>;

  /// A kept connection that was idle for at most `most_idle` ms and is sound, or none.
  auto take_idle(const asio::ip::tcp::endpoint& address, milliseconds most_idle)
      -> std::shared_ptr<outgoing_connection>;

  /// True when a connection that was idle for at most `most_idle` ms is kept.
  [[nodiscard]] auto has_idle(const asio::ip::tcp::endpoint& address, milliseconds most_idle) const -> bool;

  /// A kept connection, or a new one.
  auto take(asio::ip::tcp::endpoint address, milliseconds most_idle, milliseconds time_left)
      -> task<exchanged<std::shared_ptr<outgoing_connection>>>;

  /// Gives a connection back; what may not be used again is closed.
  auto give_back(const asio::ip::tcp::endpoint& address, std::shared_ptr<outgoing_connection> connection)
      -> void;

  /// Closes the idle connections to an address and returns how many there were. To be called when an exchange
  /// timed out: what silently drops the packets of one established connection may do so for all of them,
  /// while new ones work.
  auto forget(const asio::ip::tcp::endpoint& address) -> std::size_t;

  /// Closes the idle connections to an address that carried no response after `time`, on the local clock, and
  /// returns how many there were.
  auto forget_unused_since(const asio::ip::tcp::endpoint& address, milliseconds time) -> std::size_t;

  /// Closes connections that were idle too long. Call now and then.
  auto sweep() -> void;

  /// Connections opened so far.
  [[nodiscard]] auto opened() const -> std::int64_t { return opened_; }

 private:
  struct idle_connection {
    std::shared_ptr<outgoing_connection> connection_;
    milliseconds since_ = 0;
  };

  connection_pool(event_loop& loop, const connection_pool_settings& settings);

  event_loop* loop_;
  connection_pool_settings settings_;
  steady_clock clock_;
  std::map<asio::ip::tcp::endpoint, std::vector<idle_connection>> idle_;
  std::int64_t opened_ = 0;
};

}  // namespace birchlever

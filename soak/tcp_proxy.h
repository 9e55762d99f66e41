/// A loopback proxy that harms connections from outside the processes under test.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "birchlever/core/result.h"
#include "birchlever/http/task.h"

namespace birchlever::soak {

/// What the proxy does with bytes and new connections.
enum class link_state {
  good,
  slow,          ///< Bytes wait before they go on.
  answers_lost,  ///< Bytes go to the server; what it sends is dropped.
  silent,        ///< Bytes are taken and dropped, both ways.
  resetting,     ///< Open connections are reset, new ones at once.
};

/// For the soak's one loop.
class tcp_proxy : public std::enable_shared_from_this<tcp_proxy> {
 public:
  /// Listens at `address` and passes connections on to `target`. Failures: invalid_setting.
  static auto create(event_loop& loop, const std::string& address, const std::string& target)
      -> result<std::shared_ptr<tcp_proxy>>;

  auto set(link_state state) -> void { state_ = state; }

  /// Makes the connections that are open now silent for good, without closing them. New ones are not
  /// affected.
  auto silence_open() -> void { silent_before_ = next_connection_; }

  [[nodiscard]] auto state() const -> link_state { return state_; }

 private:
  using socket = asio::ip::tcp::socket;

  tcp_proxy(event_loop& loop, asio::ip::tcp::endpoint target);

  auto accept_all() -> task<>;
  auto carry(std::shared_ptr<socket> from, std::shared_ptr<socket> to, std::uint64_t connection,
             bool towards_server) -> task<>;
  auto connect(std::shared_ptr<socket> caller) -> task<>;

  event_loop* loop_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  link_state state_ = link_state::good;
  std::uint64_t next_connection_ = 0;  ///< Number of the next accepted connection.
  std::uint64_t silent_before_ = 0;    ///< Connections with lower numbers are silent.
};

}  // namespace birchlever::soak

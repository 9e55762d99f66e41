#include "birchlever/http/port_probe.h"

#include <array>

namespace birchlever {

auto name_of(port_state state) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 3>{"open", "closed", "silent"};
  return names.at(static_cast<std::size_t>(state));
}

auto probe_port(event_loop& loop, asio::ip::tcp::endpoint address, milliseconds limit) -> task<port_state> {
  auto socket = std::make_shared<asio::ip::tcp::socket>(loop);
  auto deadline = asio::steady_timer{loop, std::chrono::milliseconds{limit}};
  deadline.async_wait([weak = std::weak_ptr{socket}](const boost::system::error_code& code) {
    auto probed = weak.lock();
    if (!code && probed) {
      auto ignored = boost::system::error_code{};
      probed->close(ignored);
    }
  });
  auto code = boost::system::error_code{};
  co_await socket->async_connect(address, resume_with(code));
  deadline.cancel();
  auto ignored = boost::system::error_code{};
  socket->close(ignored);
  if (code == asio::error::connection_refused) {
    co_return port_state::closed;
  }
  co_return code ? port_state::silent : port_state::open;
}

}  // namespace birchlever

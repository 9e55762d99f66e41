/// State of a server's port, as seen when a response was lost.
#include <catch2/catch.hpp>
#include <optional>

#include "birchlever/http/port_probe.h"
#include "unit_tests/http/free_port.h"

namespace birchlever {
namespace {

constexpr auto limit = milliseconds{500};

auto probed_state(event_loop& loop, unsigned short port) -> std::optional<port_state> {
  auto state = std::optional<port_state>{};
  auto run = [](event_loop& used, unsigned short probed, std::optional<port_state>& into) -> task<> {
    auto address = asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), probed};
    into = co_await probe_port(used, address, limit);
  };
  start(loop, "probe", run(loop, port, state));
  loop.restart();
  loop.run_for(std::chrono::milliseconds{2 * limit});
  return state;
}

}  // namespace

// Guards against taking a reset connection for the end of the server: only a refused connection shows it.
TEST_CASE("a probed port is open while a server listens and closed after it ended") {
  auto loop = event_loop{1};
  auto acceptor = asio::ip::tcp::acceptor{loop, asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
  auto port = acceptor.local_endpoint().port();
  REQUIRE(probed_state(loop, port) == port_state::open);
  acceptor.close();
  REQUIRE(probed_state(loop, port) == port_state::closed);
}

}  // namespace birchlever

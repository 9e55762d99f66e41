/// Starts gateways without standard descriptors, and holds as many connections to them as callers can.
#include <httplib.h>
#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <list>

#include "birchlever/http/task.h"
#include "unit_tests/daemon/gateway_process.h"

namespace birchlever::test {
namespace {

constexpr auto bytes_per_mb = std::size_t{1U << 20U};
constexpr auto quick_answer = milliseconds{2000};

/// Runs a program after a shell command.
auto after(const std::string& command) -> std::vector<std::string> {
  return {"/bin/sh", "-c", command + "; exec \"$@\"", "sh"};
}

/// Connections of callers to a gateway. Closed ones stay in the list.
class open_connections {
 public:
  explicit open_connections(const gateway_process& gateway) : ip_{asio::ip::make_address_v4(gateway.ip())} {}

  /// Connects and sends `text`. With `answered`, waits for the beginning of a response.
  auto add(const std::string& text, bool answered, unsigned short port = gateway_process::caller_port)
      -> asio::ip::tcp::socket& {
    auto& socket = sockets_.emplace_back(loop_);
    auto code = boost::system::error_code{};
    socket.connect({ip_, port}, code);
    asio::write(socket, asio::buffer(text), code);
    auto answer = std::array<char, 12>{};
    if (answered) {
      asio::read(socket, asio::buffer(answer), code);
    }
    return socket;
  }

 private:
  asio::ip::address_v4 ip_;
  event_loop loop_{1};
  std::list<asio::ip::tcp::socket> sockets_;
};

/// Returns the status of a GET within `quick_answer`; 0 without a response.
auto status_of(const gateway_process& gateway, int port, const std::string& path) -> int {
  auto client = httplib::Client{gateway.ip(), port};
  client.set_read_timeout(std::chrono::milliseconds{quick_answer});
  auto response = client.Get(path, {{"X-Request-Id", "r1"}});
  return response ? response->status : 0;
}

auto raise_own_limit() -> void {
  auto limit = rlimit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

// Guards against sockets with the numbers of standard output and error: the log would be written into them.
TEST_CASE("a gateway that starts without standard descriptors opens none of its own in their place") {
  auto gateway = gateway_process{};
  gateway.start(after("exec 0<&- 1>&- 2>&-"));
  REQUIRE(gateway.await_open());
  for (auto number : {0, 1, 2}) {
    auto link = "/proc/" + std::to_string(gateway.process().pid()) + "/fd/" + std::to_string(number);
    CHECK(std::filesystem::read_symlink(link).string() == "/dev/null");
  }
  CHECK_FALSE(gateway.process().unasked_end());
}

// Guards against idle callers that hold all descriptors: nobody else was answered for 15 s, readiness checks
// included, and the store could not be reached.
TEST_CASE("idle connections do not keep a gateway from answering others") {
  using process = gateway_process;
  for (auto port : {process::caller_port, process::readiness_port, process::control_port}) {
    INFO("port " << port);
    auto gateway = gateway_process{};
    gateway.start(after("ulimit -n 256"));
    REQUIRE(gateway.await_open());
    auto callers = open_connections{gateway};
    auto& under_way =
        callers.add("POST /work HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\nx", false);
    for (auto number = 0; number < 400; ++number) {
      callers.add("", false, static_cast<unsigned short>(port));
    }
    CHECK(status_of(gateway, process::readiness_port, "/none") == 404);
    CHECK(status_of(gateway, process::control_port, "/metrics") == 200);
    CHECK(status_of(gateway, process::caller_port, "/work") == 503);  // There is no store.
    auto code = boost::system::error_code{};
    asio::write(under_way, asio::buffer("y", 1), code);
    auto answer = std::array<char, 12>{};
    CHECK(asio::read(under_way, asio::buffer(answer), code) == answer.size());
    CHECK_FALSE(gateway.process().unasked_end());
  }
}

// Guards against buffers that thousands of idle connections keep: the process went over its memory.
TEST_CASE("idle connections do not take a gateway over its memory") {
  constexpr auto memory_mb = std::size_t{88};  // Of the smallest machines.
  constexpr auto connections = 6500;
  raise_own_limit();
  auto gateway = gateway_process{};
  auto settings = gateway.settings();
  auto old_line = "--memory_mb=" + std::to_string(gateway_process::memory_mb);
  settings.replace(settings.find(old_line), old_line.size(), "--memory_mb=" + std::to_string(memory_mb));
  gateway.write_settings(settings);
  gateway.start(after("ulimit -n 8200"));
  REQUIRE(gateway.await_open());
  auto callers = open_connections{gateway};
  auto body = std::string(6000, 'x');
  auto request = "POST /work HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nContent-Length: 6000\r\n\r\n" + body;
  for (auto number = 0; number < connections; ++number) {
    callers.add(request, true);
  }
  CHECK(gateway.process().peak_memory() < memory_mb * bytes_per_mb);
  CHECK(gateway.ask("a small request").first == 503);
  CHECK_FALSE(gateway.process().unasked_end());
}

}  // namespace birchlever::test

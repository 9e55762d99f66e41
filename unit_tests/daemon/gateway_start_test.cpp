/// Starts gateways while something that they need is not there yet.
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "birchlever/http/task.h"
#include "unit_tests/daemon/gateway_process.h"

namespace birchlever::test {
namespace {

/// Holds a port as a process that is about to end does.
class held_port {
 public:
  held_port(const std::string& ip, unsigned short port, bool udp) {
    auto address = asio::ip::make_address_v4(ip);
    if (udp) {
      datagrams_.open(asio::ip::udp::v4());
      datagrams_.bind({address, port});
    } else {
      acceptor_.open(asio::ip::tcp::v4());
      acceptor_.set_option(asio::socket_base::reuse_address{true});
      acceptor_.bind({address, port});
      acceptor_.listen();
    }
  }

  auto release() -> void {
    acceptor_.close();
    datagrams_.close();
  }

 private:
  event_loop loop_{1};
  asio::ip::tcp::acceptor acceptor_{loop_};
  asio::ip::udp::socket datagrams_{loop_};
};

auto port_name(int port) -> std::string {
  return "port " + std::to_string(port);
}

}  // namespace

// Guards against a start that takes a port which is still held for a wrong setting, and ends.
TEST_CASE("a gateway waits for each of its ports that is still held") {
  using process = gateway_process;
  auto ports = std::vector<std::pair<int, bool>>{{process::caller_port, false},
                                                 {process::readiness_port, false},
                                                 {process::control_port, false},
                                                 {process::peer_port, true},
                                                 {process::peer_port + 1, true}};
  for (const auto& [port, udp] : ports) {
    INFO(port_name(port));
    auto gateway = gateway_process{};
    auto holder = held_port{gateway.ip(), static_cast<unsigned short>(port), udp};
    gateway.start();
    CHECK(gateway.await_log("start_waiting"));
    CHECK_FALSE(gateway.process().poll());
    holder.release();
    CHECK(gateway.await_open());
    CHECK_FALSE(gateway.process().unasked_end());
  }
}

// Guards against the same for `serve`, which neither became ready nor ended.
TEST_CASE("a daemon of serve waits for each of its ports that is still held") {
  for (auto port : {8080, 8081}) {
    INFO(port_name(port));
    auto addresses = gateway_process{};  // Only for its address and its folder.
    auto holder = held_port{addresses.ip(), static_cast<unsigned short>(port), false};
    auto nowhere = addresses.ip() + ":9";
    auto command = test_processes::process_command{
        "serve " + addresses.ip(),
        {tested_program(), "serve", "--listen_address=" + addresses.ip(), "--http_port=8080",
         "--peer_port=8081", "--data_hall=hall-a", "--vm_id=daemon-1", "--store_address=" + nowhere,
         "--vm_list_address=" + nowhere, "--fleet_keys=key-1", "--operator_keys=key-2"},
        addresses.log_file(),
        {}};
    auto started = test_processes::child_process::start(command);
    REQUIRE(ok(started));
    auto& daemon = *value(started);
    auto logged = [&](const std::string& text) {
      constexpr auto all_lines = std::size_t{1} << 20U;
      return await(20000, [&] {
        return daemon.poll() || daemon.last_lines(all_lines).find(text) != std::string::npos;
      });
    };
    CHECK(logged("start_waiting"));
    holder.release();
    CHECK(logged("daemon_started"));
    CHECK_FALSE(daemon.poll());
    daemon.signal(SIGTERM);
    CHECK(daemon.wait(20000));
    CHECK_FALSE(daemon.unasked_end());
  }
}

// Guards against a start that ends by SIGABRT because the system is short of descriptors for its event loop.
TEST_CASE("a gateway waits for descriptors at its start") {
  for (auto descriptors : {4, 5, 6, 7, 8}) {
    INFO(descriptors << " descriptors");
    auto gateway = gateway_process{};
    gateway.start({"/bin/sh", "-c", "ulimit -Sn " + std::to_string(descriptors) + "; exec \"$@\"", "sh"});
    CHECK(gateway.await_log("start_waiting"));
    CHECK_FALSE(gateway.process().poll());
    auto limit = rlimit{};
    REQUIRE(prlimit(gateway.process().pid(), RLIMIT_NOFILE, nullptr, &limit) == 0);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 256);
    REQUIRE(prlimit(gateway.process().pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
    CHECK(gateway.await_open());
    CHECK_FALSE(gateway.process().unasked_end());
  }
}

// Guards against a start that ends because its address is not configured yet, and against a wait that can't
// be ended.
TEST_CASE("a gateway that waits for its address stops when it is asked to") {
  auto gateway = gateway_process{};
  auto settings = gateway.settings();
  auto documentation_address = std::string{"192.0.2.7"};  // Of no machine.
  for (auto at = settings.find(gateway.ip()); at != std::string::npos; at = settings.find(gateway.ip())) {
    settings.replace(at, gateway.ip().size(), documentation_address);
  }
  gateway.write_settings(settings);
  gateway.start();
  CHECK(gateway.await_log("start_waiting"));
  auto end = gateway.stop();
  REQUIRE(end);
  CHECK(to_text(*end) == "exit code 0");
}

// Guards against a start with the part of the settings that was written so far, and against one that ends for
// lack of the rest.
TEST_CASE("a gateway waits for the rest of its settings file") {
  auto whole = gateway_process{}.settings();
  auto cuts = std::vector<std::size_t>{
      0, 20, whole.find('\n') + 1, whole.find("data_hall") + 4, whole.find("--peer_ports"), whole.size() - 2};
  for (auto cut : cuts) {
    INFO("cut after " << cut << " bytes");
    auto gateway = gateway_process{};
    auto text = gateway.settings();
    gateway.write_settings(text.substr(0, std::min(cut, text.size() - 2)));
    gateway.start();
    CHECK(gateway.await_log("start_waiting"));
    CHECK_FALSE(gateway.process().poll());
    gateway.write_settings(text);
    CHECK(gateway.await_open());
    CHECK_FALSE(gateway.process().unasked_end());
  }
}

// Guards against a second reading of the settings file that finds the part which was written since: the start
// ended.
TEST_CASE("a gateway starts with the settings file that it found whole") {
  auto gateway = gateway_process{};
  auto whole = gateway.settings();
  auto file = gateway.settings_file();
  std::filesystem::remove(file);
  REQUIRE(mkfifo(file.c_str(), S_IRUSR | S_IWUSR) == 0);
  gateway.start();
  {
    auto pipe = std::ofstream{file};  // Until the process has opened it, too.
    pipe << whole;
    auto next = std::ofstream{file + ".next"};
    next << whole.substr(0, whole.find("--peer_ports"));
    next.close();
    std::filesystem::rename(file + ".next", file);
  }
  CHECK(gateway.await_open());
  CHECK_FALSE(gateway.process().unasked_end());
}

// Guards against settings that are written between the reading of the file and the end of the start, and
// never taken.
TEST_CASE("a gateway takes settings that change while it waits for a port") {
  auto gateway = gateway_process{};
  auto holder = held_port{gateway.ip(), gateway_process::control_port, false};
  gateway.start();
  REQUIRE(gateway.await_log("start_waiting"));
  auto settings = gateway.settings();
  settings.insert(settings.find("--spent_memory"), "--store_retry_ms=700\n");
  gateway.write_settings(settings);
  holder.release();
  REQUIRE(gateway.await_open());
  CHECK(gateway.await_log(R"("event":"reload")", 5000));
}

// Guards against a settings file that is being written while the process runs: it was taken for a change.
TEST_CASE("a gateway keeps its settings while the file is written again") {
  auto gateway = gateway_process{};
  gateway.start();
  REQUIRE(gateway.await_open());
  auto settings = gateway.settings();
  gateway.write_settings(settings.substr(0, settings.find("--peer_ports")));
  CHECK(gateway.await_log("settings_file_unusable", 5000));
  gateway.write_settings(settings);
  gateway.process().signal(SIGHUP);
  CHECK(gateway.await_log(R"("cause":"signal")", 5000));
  CHECK_FALSE(gateway.await_log(R"("cause":"file_changed")", 0));
  CHECK_FALSE(gateway.process().unasked_end());
}

// Guards against a wait that hides a wrong setting.
TEST_CASE("a gateway with wrong settings ends at once and names all of them") {
  auto gateway = gateway_process{};
  auto settings = gateway.settings();
  settings.insert(settings.find("--spent_memory"), "--engine_policy=fastest\n--allotments=some\n");
  gateway.write_settings(settings);
  gateway.start();
  auto end = gateway.process().wait(5000);
  REQUIRE(end);
  CHECK(to_text(*end) == "exit code 2");
  CHECK(gateway.await_log("engine_policy", 0));
  CHECK(gateway.await_log("allotments", 0));
}

}  // namespace birchlever::test

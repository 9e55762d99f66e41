/// Sends signals to gateways from their start to their end, and fills their log.
#include <signal.h>

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "unit_tests/daemon/gateway_process.h"

namespace birchlever::test {
namespace {

/// True once the process ignores SIGPIPE, which it does at the beginning of its main function.
auto has_begun(test_processes::child_process& process) -> bool {
  constexpr auto pipe_bit = std::uint64_t{1} << (SIGPIPE - 1U);
  auto file = std::ifstream{"/proc/" + std::to_string(process.pid()) + "/status"};
  for (auto word = std::string{}; file >> word;) {
    if (word == "SigIgn:") {
      auto mask = std::uint64_t{0};
      file >> std::hex >> mask;
      return (mask & pipe_bit) != 0;
    }
  }
  return false;
}

}  // namespace

// Guards against SIGHUP with its default action before its handler is installed: it ends the process.
TEST_CASE("a gateway that gets SIGHUP while it starts runs on") {
  for (auto start = 0; start < 10; ++start) {
    auto gateway = gateway_process{};
    gateway.start();
    REQUIRE(await(20000, [&] { return gateway.process().poll() || has_begun(gateway.process()); }));
    auto open = false;
    REQUIRE(await(20000, [&] {
      gateway.process().signal(SIGHUP);
      open = gateway.process().poll() || gateway.ask().first != 0;
      return open;
    }));
    CHECK(gateway.process().unasked_end().value_or("runs") == "runs");
  }
}

// Guards against signals that nothing handles or ignores: their default action ends the process.
TEST_CASE("a gateway runs on after signals that do not ask it to stop") {
  auto gateway = gateway_process{};
  gateway.start();
  REQUIRE(gateway.await_open());
  for (auto number : {SIGHUP, SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                      SIGPWR, SIGSTKFLT}) {
    INFO("signal " << number);
    for (auto repeat = 0; repeat < 20; ++repeat) {
      gateway.process().signal(number);
    }
    CHECK(gateway.ask().first != 0);
    REQUIRE(gateway.process().unasked_end().value_or("runs") == "runs");
  }
}

// Guards against signals that come during a stop and after the handlers are gone: they cut the stop short.
TEST_CASE("a gateway that gets signals during its stop ends as a stop does") {
  auto gateway = gateway_process{};
  gateway.start();
  REQUIRE(gateway.await_open());
  gateway.process().signal(SIGTERM);
  auto numbers = std::array{SIGHUP, SIGTERM, SIGINT, SIGUSR1, SIGPIPE};
  auto sent = std::size_t{0};
  CHECK(await(20000, [&] {
    gateway.process().signal(numbers.at(sent++ % numbers.size()));
    return gateway.process().poll().has_value();
  }));
  CHECK(gateway.process().unasked_end().value_or("stopped") == "stopped");
}

// Guards against SIGXFSZ: it ended the process when the log reached the limit of the file size, at each start
// again.
TEST_CASE("a gateway whose log reaches the limit of the file size runs on") {
  constexpr auto limit_bytes = 4096;  // 8 blocks of 512 bytes.
  constexpr auto requests_beyond = 20;
  auto gateway = gateway_process{};
  auto with_limit = std::vector<std::string>{"/bin/sh", "-c", "ulimit -f 8; exec \"$@\"", "sh"};
  for (auto start = 0; start < 2; ++start) {
    gateway.start(with_limit);
    REQUIRE(gateway.await_open());
    REQUIRE(await(20000, [&] {
      return gateway.ask().first == 0 || std::filesystem::file_size(gateway.log_file()) >= limit_bytes;
    }));
    for (auto request = 0; request < requests_beyond; ++request) {
      CHECK(gateway.ask().first != 0);
    }
    CHECK(gateway.process().unasked_end().value_or("runs") == "runs");
  }
}

// Guards against an end by a fault of the program that leaves no trace in the log.
TEST_CASE("a gateway that ends by a fault of the program logs the signal") {
  auto gateway = gateway_process{};
  gateway.start();
  REQUIRE(gateway.await_open());
  gateway.process().signal(SIGSEGV);
  auto end = gateway.process().wait(20000);
  REQUIRE(end);
  CHECK(end->signal_ == SIGSEGV);
  CHECK(gateway.await_log(R"("event":"fatal_signal","signal":11)", 0));
}

}  // namespace birchlever::test

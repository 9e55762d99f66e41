/// Tests that the end of a process that nothing asked for is noticed.
#include "test_processes/child_process.h"

#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>

#include "soak/soak_fleet.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever::test_processes {
namespace {

constexpr auto limit = milliseconds{20000};

auto run_shell(const std::string& script) -> std::unique_ptr<child_process> {
  auto log = std::filesystem::temp_directory_path() / ("birchlever-child-" + std::to_string(getpid()));
  std::filesystem::remove(log);
  auto started = child_process::start({"shell", {"/bin/sh", "-c", script}, log.string(), {}});
  REQUIRE(ok(started));
  return std::move(value(started));
}

auto contains(const std::optional<std::string>& text, const std::string& part) -> bool {
  return text && text->find(part) != std::string::npos;
}

}  // namespace

// Guards against tests that stay green while processes end by themselves.
TEST_CASE("a process that exits by itself is reported with its exit code and last lines") {
  auto process = run_shell("echo the reason; exit 2");
  REQUIRE(process->wait(limit));
  CHECK(contains(process->unasked_end(), "exit code 2, nothing asked it to"));
  CHECK(contains(process->unasked_end(), "the reason"));
}

TEST_CASE("a process that a signal ends is reported although it was killed afterwards") {
  auto process = run_shell("kill -SEGV $$");
  REQUIRE(process->wait(limit));
  process->kill();
  CHECK(contains(process->unasked_end(), "signal 11"));
}

TEST_CASE("a process that exits without cause with the code of a good end is reported") {
  auto process = run_shell("exit 0");
  REQUIRE(process->wait(limit));
  CHECK(contains(process->unasked_end(), "exit code 0, nothing asked it to"));
}

TEST_CASE("a process that ends by SIGTERM instead of stopping is reported") {
  auto process = run_shell("while :; do sleep 0.01; done");
  process->signal(SIGTERM);
  REQUIRE(process->wait(limit));
  CHECK(contains(process->unasked_end(), "signal 15 (Terminated), after it was asked to stop"));
}

TEST_CASE("a process that was killed by its test is not reported") {
  auto process = run_shell("while :; do sleep 0.01; done");
  process->kill();
  CHECK_FALSE(process->unasked_end());
}

TEST_CASE("a program that is not there is an error") {
  auto started = child_process::start({"none", {"/nowhere/at-all"}, "/dev/null", {}});
  CHECK_FALSE(ok(started));
}

// Guards against a soak whose gateways end while its callers go round them.
TEST_CASE("a soak breaks a promise when a gateway ends by itself") {
  auto loop = event_loop{1};
  auto ledger = soak::soak_ledger{};
  auto settings = soak::soak_settings{};
  settings.binary_ = "/bin/false";
  settings.gateways_ = 1;
  auto fleet = soak::soak_fleet::create(loop, settings, ledger);
  REQUIRE(ok(fleet));
  start(loop, "watch_processes", value(fleet)->watch_processes());
  CHECK(run_loop_until(
      loop, [&] { return !ledger.faults().empty(); }, limit));
  REQUIRE_FALSE(ledger.faults().empty());
  CHECK(ledger.faults().front().find("process_runs_on: gateway-0") == 0);
}

}  // namespace birchlever::test_processes

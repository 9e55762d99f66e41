/// Daemons and stand-ins as processes on loopback addresses of their own.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "birchlever/storage/http_connection_pool.h"
#include "scenarios/scenario.h"
#include "test_processes/child_process.h"

namespace birchlever::scenarios {

/// Starts, freezes, kills and asks processes. Ends all it started when it goes.
class test_fleet {
 public:
  /// A fleet whose addresses all begin with 127.0.<number>, so that fleets can run side by side.
  test_fleet(const scenario& plan, int number, std::string binaries, std::string logs, std::string without);
  ~test_fleet();
  test_fleet(const test_fleet&) = delete;
  auto operator=(const test_fleet&) -> test_fleet& = delete;

  /// Starts everything and makes the client account. False when the fleet did not get ready.
  auto start() -> bool;

  auto start_daemon(int index) -> void;
  auto signal_daemon(int index, int signal) -> void;

  /// Waits for a daemon to end; its exit code, or -1 when it did not in time.
  auto await_exit(int index, int seconds) -> int;

  /// Returns a description of each process that ended although nothing asked it to.
  auto unasked_ends() -> std::vector<std::string>;

  /// True if no process has ended by itself. Prints those that did to standard error.
  auto all_run_on() -> bool;

  /// Waits until a daemon is ready to serve.
  auto await_ready(int index) -> bool;

  /// Waits until every shard has an owner that answers.
  auto await_owners(int seconds) -> bool;

  /// The daemon that owns the shard of a program; zero when none does.
  auto owner_of(const std::string& account, const std::string& program) -> int;

  auto set_fault(const std::string& kind, int index, const std::string& name, double level) -> void;
  auto set_link(int daemon, const std::string& target, const std::string& state) -> void;
  auto leave_engine(int index) -> void;

  /// Runs an operator's statement through a daemon; HTTP status and body.
  auto operate(int daemon, const std::string& statement) -> buffered_response;

  [[nodiscard]] auto daemon_address(int index) const -> endpoint;
  [[nodiscard]] auto peer_address(int index) const -> std::string;
  [[nodiscard]] auto engine_address(int index) const -> endpoint;
  [[nodiscard]] auto service_address() const -> endpoint;
  [[nodiscard]] auto platform_address() const -> endpoint;
  [[nodiscard]] auto daemons() const -> int { return plan_.daemons_; }
  [[nodiscard]] auto engines() const -> int { return plan_.engines_; }

  /// GET of JSON; null when there is no answer.
  auto get_json(const endpoint& target, const std::string& path) -> nlohmann::json;
  auto post(const endpoint& target, const std::string& path, const nlohmann::json& body) -> buffered_response;

 private:
  using process = std::unique_ptr<test_processes::child_process>;

  /// Null, and noted as an unasked end, if the process can't be started.
  auto spawn(const std::string& name, std::vector<std::string> arguments) -> process;
  /// Notes the end of a process if nothing asked for it.
  auto check_end(test_processes::child_process& checked) -> void;
  auto list(const nlohmann::json& entry) -> void;

  scenario plan_;
  std::string network_;
  std::string binaries_;
  std::string logs_;
  std::string without_;
  std::shared_ptr<http_connection_pool> pool_;
  std::map<int, process> daemons_;
  std::vector<process> stand_ins_;
  std::vector<std::string> unasked_ends_;
};

}  // namespace birchlever::scenarios

#include "scenarios/eventually.h"

/// A gateway as a process of its own, without a store, for tests of its start, its signals and its end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "test_processes/child_process.h"

namespace birchlever::test {

/// One gateway on loopback addresses of its own. The program is the one beside the test program, or the one
/// that the environment variable BIRCHLEVER_TESTED names.
class gateway_process {
 public:
  gateway_process();
  ~gateway_process();
  gateway_process(const gateway_process&) = delete;
  auto operator=(const gateway_process&) -> gateway_process& = delete;

  /// Settings of which all are needed, as the platform fills them in.
  [[nodiscard]] auto settings() const -> std::string;

  auto write_settings(const std::string& text) -> void;

  /// Starts the process. `wrapper` is put before the program and its arguments.
  auto start(const std::vector<std::string>& wrapper = {}) -> void;

  /// Waits until the port for callers accepts connections.
  auto await_open(milliseconds limit = 20000) -> bool;

  /// Waits until the process wrote `text`.
  auto await_log(const std::string& text, milliseconds limit = 20000) -> bool;

  /// Sends a request of a caller and returns status and body; 0 if there is no response.
  auto ask(const std::string& body = "") -> std::pair<int, std::string>;

  /// Asks it to stop and returns how it ended.
  auto stop() -> std::optional<test_processes::process_end>;

  [[nodiscard]] auto ip() const -> const std::string& { return ip_; }
  [[nodiscard]] auto log_file() const -> std::string;
  [[nodiscard]] auto settings_file() const -> std::string;
  [[nodiscard]] auto process() -> test_processes::child_process& { return *process_; }

  static constexpr auto caller_port = 8080;
  static constexpr auto readiness_port = 8081;
  static constexpr auto control_port = 8082;
  static constexpr auto peer_port = 8090;
  static constexpr auto memory_mb = 120;

 private:
  std::string folder_;
  std::string ip_;
  std::unique_ptr<test_processes::child_process> process_;
};

/// Returns the path of the program under test.
[[nodiscard]] auto tested_program() -> std::string;

/// Waits until a condition holds, for at most `limit` ms. Returns whether it does.
auto await(milliseconds limit, const std::function<bool()>& condition) -> bool;

}  // namespace birchlever::test

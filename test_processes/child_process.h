/// Processes that tests start. The end of each is compared with what the test asked for: a process that ends
/// by itself is a failure even where everything else still works without it.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"

namespace birchlever::test_processes {

/// How a process ended.
struct process_end {
  int exit_code_ = 0;  ///< 0 if a signal ended it.
  int signal_ = 0;     ///< 0 if it exited.
};

/// Returns the end in words, for example "exit code 2" or "signal 11 (Segmentation fault)".
[[nodiscard]] auto to_text(const process_end& end) -> std::string;

/// What to start.
struct process_command {
  std::string name_;                      ///< In reports.
  std::vector<std::string> words_;        ///< The program's path, then its arguments.
  std::string log_file_;                  ///< Receives standard output and standard error, appended.
  std::vector<std::string> environment_;  ///< NAME=value, in addition to the environment of the test.
};

/// One process. Killed and awaited when the object goes.
class child_process {
 public:
  /// Starts the process. Failures: invalid_setting if it can't be started.
  static auto start(const process_command& command) -> result<std::unique_ptr<child_process>>;

  ~child_process();
  child_process(const child_process&) = delete;
  auto operator=(const child_process&) -> child_process& = delete;

  /// Sends a signal. SIGTERM and SIGINT ask it to stop, SIGKILL ends it; after any other it has to run on.
  auto signal(int number) -> void;

  /// Kills the process and waits for its end.
  auto kill() -> void;

  /// Returns how the process ended; none while it runs.
  auto poll() -> std::optional<process_end>;

  /// Waits for the end for at most `limit` ms.
  auto wait(milliseconds limit) -> std::optional<process_end>;

  /// Returns a description of an end that nothing asked for, with the last lines of the log; none if the
  /// process runs or ended as asked. A process that was asked to stop has to exit with a documented code.
  auto unasked_end() -> std::optional<std::string>;

  /// Returns the last lines of what the process wrote.
  [[nodiscard]] auto last_lines(std::size_t max_lines) const -> std::string;

  /// Returns the largest resident memory so far, in bytes; 0 once the process has ended.
  [[nodiscard]] auto peak_memory() const -> std::size_t;

  [[nodiscard]] auto pid() const -> pid_t { return pid_; }
  [[nodiscard]] auto name() const -> const std::string& { return name_; }

 private:
  enum class request { none, stop, kill };

  child_process(const process_command& command, std::size_t log_start);

  std::string name_;
  std::string log_file_;
  std::size_t log_start_;  ///< Size of the log file when the process was started.
  pid_t pid_ = -1;
  request asked_ = request::none;
  std::optional<process_end> end_;
};

}  // namespace birchlever::test_processes

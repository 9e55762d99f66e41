#include "test_processes/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

extern char** environ;

namespace birchlever::test_processes {
namespace {

constexpr auto exit_good = 0;
constexpr auto exit_calls_cut = 3;  // Documented for a stop whose time was over.
constexpr auto poll_gap = std::chrono::milliseconds{5};
constexpr auto reported_lines = std::size_t{5};
constexpr auto bytes_per_kb = std::size_t{1024};

auto size_of(const std::string& file) -> std::size_t {
  struct stat found {};
  return stat(file.c_str(), &found) == 0 ? static_cast<std::size_t>(found.st_size) : 0;
}

auto pointers_to(std::vector<std::string>& texts) -> std::vector<char*> {
  auto pointers = std::vector<char*>{};
  for (auto& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

auto with_environment_of_test(std::vector<std::string> variables) -> std::vector<std::string> {
  for (auto** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  return variables;
}

}  // namespace

auto to_text(const process_end& end) -> std::string {
  if (end.signal_ == 0) {
    return "exit code " + std::to_string(end.exit_code_);
  }
  return "signal " + std::to_string(end.signal_) + " (" + strsignal(end.signal_) + ")";
}

child_process::child_process(const process_command& command, std::size_t log_start)
    : name_{command.name_}, log_file_{command.log_file_}, log_start_{log_start} {}

child_process::~child_process() {
  kill();
}

auto child_process::start(const process_command& command) -> result<std::unique_ptr<child_process>> {
  auto made = std::unique_ptr<child_process>{new child_process{command, size_of(command.log_file_)}};
  auto words = command.words_;
  auto variables = with_environment_of_test(command.environment_);
  auto actions = posix_spawn_file_actions_t{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, command.log_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A process that inherits the test's sockets keeps their ports and connections open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  auto failed = posix_spawn(&made->pid_, words.front().c_str(), &actions, nullptr, pointers_to(words).data(),
                            pointers_to(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    made->pid_ = -1;
    return error{error_code::invalid_setting, command.name_ + " can't be started: " + std::strerror(failed)};
  }
  return made;
}

auto child_process::signal(int number) -> void {
  if (poll()) {
    return;
  }
  if (number == SIGKILL) {
    asked_ = request::kill;
  } else if ((number == SIGTERM || number == SIGINT) && asked_ == request::none) {
    asked_ = request::stop;
  }
  ::kill(pid_, number);
}

auto child_process::kill() -> void {
  signal(SIGKILL);
  while (!poll()) {
    std::this_thread::sleep_for(poll_gap);
  }
}

auto child_process::poll() -> std::optional<process_end> {
  if (pid_ <= 0 && !end_) {
    end_ = process_end{};  // It was never started.
  }
  auto status = 0;
  if (!end_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    end_ = WIFSIGNALED(status) ? process_end{0, WTERMSIG(status)} : process_end{WEXITSTATUS(status), 0};
  }
  return end_;
}

auto child_process::wait(milliseconds limit) -> std::optional<process_end> {
  auto clock = steady_clock{};
  auto until = clock.now() + limit;
  while (!poll() && clock.now() < until) {
    std::this_thread::sleep_for(poll_gap);
  }
  return end_;
}

auto child_process::unasked_end() -> std::optional<std::string> {
  auto ended = poll();
  if (!ended || pid_ <= 0) {
    return std::nullopt;
  }
  auto killed = asked_ == request::kill && ended->signal_ == SIGKILL;
  auto stopped = asked_ != request::none && ended->signal_ == 0 &&
                 (ended->exit_code_ == exit_good || ended->exit_code_ == exit_calls_cut);
  if (killed || stopped) {
    return std::nullopt;
  }
  return name_ + " (process " + std::to_string(pid_) + ") ended with " + to_text(*ended) +
         (asked_ == request::none ? ", nothing asked it to" : ", after it was asked to stop") +
         "; its last lines:\n" + last_lines(reported_lines);
}

auto child_process::last_lines(std::size_t max_lines) const -> std::string {
  auto file = std::ifstream{log_file_};
  file.seekg(static_cast<std::streamoff>(log_start_));
  auto lines = std::vector<std::string>{};
  for (auto line = std::string{}; std::getline(file, line);) {
    lines.push_back(line);
  }
  auto text = std::string{};
  for (auto at = lines.size() > max_lines ? lines.size() - max_lines : 0; at < lines.size(); ++at) {
    text += lines[at] + "\n";
  }
  return text;
}

auto child_process::peak_memory() const -> std::size_t {
  auto file = std::ifstream{"/proc/" + std::to_string(pid_) + "/status"};
  for (auto word = std::string{}; file >> word;) {
    if (word == "VmHWM:") {
      auto kilobytes = std::size_t{0};
      file >> kilobytes;
      return kilobytes * bytes_per_kb;
    }
  }
  return 0;
}

}  // namespace birchlever::test_processes

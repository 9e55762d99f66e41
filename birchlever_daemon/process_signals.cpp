#include "birchlever_daemon/process_signals.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <ctime>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000L;
constexpr auto ns_per_ms = 1'000'000L;
constexpr auto max_frames = 32;
constexpr auto alternate_stack_bytes = std::size_t{65536};

constexpr auto handled_signals = std::array{SIGHUP, SIGTERM, SIGINT};
constexpr auto ignored_signals = std::array{SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1,   SIGUSR2,  SIGALRM,
                                            SIGPROF, SIGIO,   SIGPWR,  SIGVTALRM, SIGSTKFLT};
constexpr auto fatal_signals = std::array{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGABRT};

template <std::size_t count>
auto set_of(const std::array<int, count>& numbers) -> sigset_t {
  auto set = sigset_t{};
  sigemptyset(&set);
  for (auto number : numbers) {
    sigaddset(&set, number);
  }
  return set;
}

/// Text in a fixed buffer: a signal handler must not allocate.
class line_buffer {
 public:
  auto add(const char* text) -> void {
    while (*text != '\0' && size_ < bytes_.size()) {
      bytes_[size_++] = *text++;
    }
  }

  auto add_number(std::uint64_t number, unsigned base) -> void {
    auto digits = std::array<char, 24>{};
    auto at = digits.size() - 1;
    do {
      digits[--at] = "0123456789abcdef"[number % base];
      number /= base;
    } while (number != 0 && at > 0);
    add(&digits[at]);
  }

  auto write_out() const -> void {
    auto ignored = ::write(STDOUT_FILENO, bytes_.data(), size_);  // Nothing is left to do if it fails.
    static_cast<void>(ignored);
  }

 private:
  std::array<char, 2048> bytes_{};
  std::size_t size_ = 0;
};

auto report_fatal(int number, siginfo_t* info, void* /*context*/) -> void {
  auto frames = std::array<void*, max_frames>{};
  auto count = backtrace(frames.data(), max_frames);
  auto line = line_buffer{};
  line.add(R"({"level":"error","event":"fatal_signal","signal":)");
  line.add_number(static_cast<std::uint64_t>(number), 10);
  line.add(R"(,"address":"0x)");
  line.add_number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
  line.add(R"(","own_code":"0x)");
  line.add_number(reinterpret_cast<std::uintptr_t>(&report_fatal_signals), 16);
  line.add(R"(","stack":[)");
  for (auto frame = 0; frame < count; ++frame) {
    line.add(frame == 0 ? "\"0x" : ",\"0x");
    line.add_number(reinterpret_cast<std::uintptr_t>(frames.at(static_cast<std::size_t>(frame))), 16);
    line.add("\"");
  }
  line.add("]}\n");
  line.write_out();
  raise(number);  // Its default action is in force again.
}

}  // namespace

auto prepare_signals() -> void {
  hold_signals();
  for (auto number : ignored_signals) {
    signal(number, SIG_IGN);
  }
}

auto deliver_signals() -> void {
  auto set = set_of(handled_signals);
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

auto hold_signals() -> void {
  auto set = set_of(handled_signals);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

auto stop_requested_within(long limit_ms) -> bool {
  auto set = set_of(std::array{SIGTERM, SIGINT});
  auto limit = timespec{limit_ms / ms_per_second, limit_ms % ms_per_second * ns_per_ms};
  return sigtimedwait(&set, nullptr, &limit) > 0;
}

auto await_stop_request() -> void {
  auto set = set_of(std::array{SIGTERM, SIGINT});
  auto received = 0;
  while (sigwait(&set, &received) != 0) {
  }
}

auto report_fatal_signals() -> void {
  static auto stack_memory = std::array<char, alternate_stack_bytes>{};  // The own one may have overflowed.
  auto frames = std::array<void*, 1>{};
  backtrace(frames.data(), 1);  // The first call loads a library, which must not happen in a handler.
  auto stack = stack_t{};
  stack.ss_sp = stack_memory.data();
  stack.ss_size = stack_memory.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = report_fatal;
  action.sa_flags = static_cast<int>(SA_SIGINFO | SA_RESETHAND | SA_ONSTACK);
  for (auto number : fatal_signals) {
    sigaction(number, &action, nullptr);
  }
}

}  // namespace birchlever

/// The record of a case: what was sent, answered and run, and what was found.
#pragma once

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

/// Returns the time since the start of the program in ms.
inline auto now_ms() -> long {
  static const auto start = std::chrono::steady_clock::now();
  auto since = std::chrono::steady_clock::now() - start;
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Writes lines with their time to a file; used by several threads.
class record {
 public:
  explicit record(const std::string& file) : out_{file} {}

  auto line(const std::string& text) -> void {
    auto lock = std::lock_guard{mutex_};
    out_ << now_ms() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace review

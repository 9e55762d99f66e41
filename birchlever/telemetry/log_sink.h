/// Where log lines leave the process: written without ever waiting, bounded while nobody reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace birchlever {

/// Thread safe through its caller: easylogging++ dispatches one line at a time.
class log_sink {
 public:
  /// Writes to a descriptor, which is made non-blocking. `most_pending` bytes wait while it is full.
  explicit log_sink(int descriptor, std::size_t most_pending = standard_pending);

  /// Writes a line, keeps it for later, or drops and counts it.
  auto write(std::string_view line) -> void;

  /// Counts a line that could not be made.
  auto drop() -> void { ++dropped_; }

  /// Lines dropped so far. The next line that finds room is preceded by one that tells the count.
  [[nodiscard]] auto dropped() const -> std::int64_t { return dropped_; }

 private:
  static constexpr auto standard_pending = std::size_t{262144};

  auto flush() -> void;

  int descriptor_;
  std::size_t most_pending_;
  std::string pending_;
  std::int64_t dropped_ = 0;
  std::int64_t told_ = 0;
  std::int64_t told_before_ = 0;  ///< Before the count in pending_.
  bool announcing_ = false;       ///< pending_ holds a count of dropped lines.
};

}  // namespace birchlever

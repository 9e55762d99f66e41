/// Finds folded lines in the head of a message as its bytes arrive. A parser joins them, after which they
/// can't be told from a value.
#pragma once

#include <cstddef>
#include <string_view>

namespace birchlever {

/// For one head. A line that begins with a blank or a tab continues the one before (RFC 9112, section 5.2).
class folded_line_scan {
 public:
  /// Scans the next bytes, up to the end of the head.
  auto feed(std::string_view bytes) -> void;

  /// True if a folded line was found.
  [[nodiscard]] auto found() const -> bool { return found_; }

 private:
  char last_ = '\0';
  std::size_t end_matched_ = 0;  ///< Bytes of the end of a head that were just scanned.
  bool found_ = false;
};

}  // namespace birchlever

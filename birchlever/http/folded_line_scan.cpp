#include "birchlever/http/folded_line_scan.h"

namespace birchlever {

auto folded_line_scan::feed(std::string_view bytes) -> void {
  constexpr auto end_of_head = std::string_view{"\r\n\r\n"};
  for (auto byte : bytes) {
    if (end_matched_ == end_of_head.size()) {
      return;
    }
    found_ = found_ || (last_ == '\n' && (byte == ' ' || byte == '\t'));
    auto matches = byte == end_of_head[end_matched_];
    auto begins_anew = byte == end_of_head.front() ? std::size_t{1} : std::size_t{0};
    end_matched_ = matches ? end_matched_ + 1 : begins_anew;
    last_ = byte;
  }
}

}  // namespace birchlever

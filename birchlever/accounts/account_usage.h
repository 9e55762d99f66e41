/// What client accounts asked of this daemon and what they got, in a bounded number of metrics.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "birchlever/accounts/account_book.h"

namespace birchlever {

/// Counts by account and by how requests ended. Not thread safe: for one loop.
class account_usage {
 public:
  /// A request ended with a status; 0 when its caller got none.
  auto note(const std::string& account, int status) -> void;

  /// Prometheus text: the `most` accounts that asked most, each with its requests by status and the
  /// beginnings of its keys' digests, and all others in one sum. `book` may be null.
  [[nodiscard]] auto to_prometheus(const account_book* book, std::size_t most) const -> std::string;

 private:
  struct counts {
    std::int64_t asked_ = 0;
    std::map<int, std::int64_t> by_status_;
  };

  static auto add(counts& sum, const counts& one) -> void;

  std::unordered_map<std::string, counts> accounts_;
};

}  // namespace birchlever

/// Estimates the size of a history before it is read.
#pragma once

#include <cmath>
#include <cstddef>
#include <optional>

#include "birchlever/core/clock.h"

namespace birchlever {

/// The largest size seen lately: a few long programs among many short ones must not be underestimated.
class history_estimate {
 public:
  /// Until a size is known. A page of the store holds no more, and most histories fit one.
  static constexpr auto initial_bytes = std::size_t{1U << 20U};

  /// Records the size of a history that was used at `now`.
  auto record(std::size_t bytes, milliseconds now) -> void {
    if (!largest_ || bytes >= expected(now)) {
      largest_ = bytes;
      seen_at_ = now;
    }
  }

  /// Returns the largest size recorded, halved for each `half_life` that has passed.
  [[nodiscard]] auto expected(milliseconds now) const -> std::size_t {
    if (!largest_) {
      return initial_bytes;
    }
    auto halvings = static_cast<double>(now - seen_at_) / static_cast<double>(half_life);
    return static_cast<std::size_t>(static_cast<double>(*largest_) * std::exp2(-halvings));
  }

 private:
  static constexpr auto half_life = milliseconds{60000};

  std::optional<std::size_t> largest_;
  milliseconds seen_at_ = 0;
};

}  // namespace birchlever

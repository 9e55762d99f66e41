/// Estimates the mean number of requests per program from the traffic of this daemon.
#pragma once

#include "birchlever/core/clock.h"

namespace birchlever {

/// Ratio of two exponentially decaying counters.
class program_size_estimate {
 public:
  /// Records a request. `starts_program` is set for the first request of a program.
  auto record(bool starts_program, milliseconds now) -> void;

  /// Returns the mean number of requests per program, at least 1.
  [[nodiscard]] auto mean_requests() const -> double;

 private:
  double requests_ = 100;  ///< Decaying counters; the initial values assume ten requests per program.
  double programs_ = 10;
  milliseconds updated_at_ = 0;
};

}  // namespace birchlever

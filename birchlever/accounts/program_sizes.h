/// How many requests a program sends at the mean, as seen of all that pass here.
#pragma once

#include "birchlever/core/clock.h"

namespace birchlever {

/// A ratio of counts that fade. A pure function of what is noted.
class program_sizes {
 public:
  /// A request of a program passed; `begins` when it is the program's first.
  auto note(bool begins, milliseconds now) -> void;

  /// Requests a program at the mean, at least 1.
  [[nodiscard]] auto requests() const -> double;

 private:
  double requests_ = 100;  ///< Faded counts. Until enough has passed: ten requests a program, as a program of
  double programs_ = 10;   ///< four turns and a tool or two after each has.
  milliseconds noted_at_ = 0;
};

}  // namespace birchlever

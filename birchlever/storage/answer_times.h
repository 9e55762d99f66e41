/// How long the store takes to answer, by the place that is written, and after how long an answer is lost.
///
/// An answer that does not come was lost, or waits: a part of the store makes one change after the other. To
/// ask again soon is right for the first and ruinous for the second, since each repetition waits in the same
/// queue: a part that was overloaded for a moment stayed so for good, with each change sent four times and
/// none answered within its limit. So a place that was silent or slow gets more time at once, until it
/// answers quickly again.
#pragma once

#include <map>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Times in ms.
struct answer_time_settings {
  milliseconds shortest_ =
      150;  ///< An answer takes 4 to 20 ms; this long without one and it was probably lost.
  milliseconds longest_ = 1500;  ///< A part refuses what would wait for over a second; also enough for a
                                 ///< store that is 60 times slower than usual.
  int quick_tries_ = 2;  ///< Of a call, the second with twice the time; two losses in a row are rare, so what
                         ///< is not answered then waits in a queue, and gets the longest time.
  bool remembers_ = true;  ///< Later calls to a place that was silent or slow begin with more time.
};

/// A function of what was met; not thread safe.
class answer_times {
 public:
  explicit answer_times(const answer_time_settings& settings = {}) : settings_{settings} {}

  /// ms that a call to a place may take; `tries` were made before.
  [[nodiscard]] auto limit(const std::string& place, int tries) const -> milliseconds;

  /// A call was answered.
  auto note_answer(const std::string& place, milliseconds took) -> void;

  /// True while a place is known to be slow, so that calls to it get more time.
  [[nodiscard]] auto slow(const std::string& place) const -> bool { return slow_.count(place) != 0; }

  /// A call was not answered within its limit.
  auto note_silence(const std::string& place, milliseconds limit) -> void;

  /// Moving mean of quick answers, in ms.
  [[nodiscard]] auto usual_ms() const -> double { return usual_ms_; }

 private:
  [[nodiscard]] auto first_limit() const -> milliseconds;

  answer_time_settings settings_;
  double usual_ms_ = 20;
  std::map<std::string, milliseconds> slow_;  ///< How long places took that are silent or slow.
};

}  // namespace birchlever

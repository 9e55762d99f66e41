/// The part of every allotment that may be granted on this side of a cut.
///
/// Two sides that do not hear each other each believe that they are all. When each grants only the part of
/// the allotment that its part of the daemons stands for, both together stay within it, and neither needs the
/// store.
#pragma once

#include <cstddef>

#include "birchlever/core/clock.h"

namespace birchlever {

/// What a daemon hears of the others.
struct heard_peers {
  std::size_t living_ = 0;  ///< Other daemons heard within the time after which a silent one was removed.
  std::size_t heard_ = 0;   ///< Of these, heard within `window_`.
  milliseconds window_ = 0;
  milliseconds listening_ = 0;   ///< ms since this daemon began to listen.
  milliseconds send_gap_ = 200;  ///< ms between two messages of a daemon.
  std::size_t receivers_ = 16;   ///< Daemons that get each of them, drawn anew.
};

/// Between 0 and 1. A daemon that has not listened for a window yet takes all for reached, as after a start
/// in common; its bucket begins nearly empty.
[[nodiscard]] auto reached_share(const heard_peers& peers) -> double;

}  // namespace birchlever

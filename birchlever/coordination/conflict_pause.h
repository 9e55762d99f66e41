/// How long to wait after a change lost against another one of the same rows, before it is tried again.
///
/// Changes of one part are made one after the other. When many daemons change one program and each tries
/// again at once, all but one of the tries that wait there are lost before they are looked at; the wait grows
/// to the longest that the store allows, and then one change a second is made, whatever the part could make.
/// Pauses that grow with the losses and with the wait itself let the queue run dry.
///
/// In the model of one part (150 changes a second, a fifth of that asked for) 50 changes of one program at
/// one moment left the part with 0.66 of its callers served in time for good; with pauses all are, three
/// seconds on.
#pragma once

#include "birchlever/core/clock.h"

namespace birchlever {

/// Times in ms.
struct conflict_pause_settings {
  int free_conflicts_ = 1;       ///< The first conflict only shows that the record was old.
  milliseconds shortest_ = 20;   ///< One change and its answer, about.
  milliseconds longest_ = 4000;  ///< Callers wait about so long for a turn's end.
};

/// The longest pause after so many conflicts in a row, the last of which took `took` ms to be told; 0: none.
/// The caller draws the pause between half of it and all of it.
[[nodiscard]] auto longest_conflict_pause(int conflicts, milliseconds took,
                                          const conflict_pause_settings& settings = {}) -> milliseconds;

}  // namespace birchlever

/// Backoff after a write conflict with another change of the same rows.
///
/// The store makes the changes of one partition sequentially. If many daemons change one program and retry
/// immediately, all but one of the queued attempts conflict, and the queue stays full. A backoff that grows
/// with the number of conflicts and with the latency of the attempt lets the queue drain.
#pragma once

#include "birchlever/core/clock.h"

namespace birchlever {

/// Settings of the backoff. Times in ms.
struct conflict_backoff_settings {
  int free_conflicts_ = 1;  ///< Conflicts without backoff; the first only shows that the record was stale.
  milliseconds min_backoff_ = 20;    ///< Minimum; about one round trip to the store.
  milliseconds max_backoff_ = 4000;  ///< Maximum; about as long as callers wait for the end of a turn.
};

/// Returns the maximum backoff in ms after a number of consecutive conflicts, the last of which was reported
/// after `latency` ms; 0 for no backoff. The caller picks a random delay between half of it and all of it.
[[nodiscard]] auto max_conflict_backoff(int conflicts, milliseconds latency,
                                        const conflict_backoff_settings& settings = {}) -> milliseconds;

}  // namespace birchlever

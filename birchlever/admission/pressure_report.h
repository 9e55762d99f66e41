/// What a daemon reports to its peers about the shortage of resources.
#pragma once

#include "birchlever/core/clock.h"

namespace birchlever {

/// Waits, refusals and throughput as measured by one daemon. Rates are decaying averages.
struct pressure_report {
  double write_wait_ms_ = 0;       ///< Wait at the write gate of a new program's first write.
  double writes_per_s_ = 0;        ///< Store transactions sent.
  double throttled_per_s_ = 0;     ///< Store calls refused because of the rate limit.
  double upstreams_ = 0;           ///< Shortage of the service that is worst off; 1: no free capacity.
  double served_turns_per_s_ = 0;  ///< Turns of programs with stored histories that were completed.
  double first_turns_per_s_ = 0;   ///< Admitted first turns of programs, over a longer time.
  double turns_per_s_ = 0;         ///< All turns of programs, over the same time.
};

/// A report of a peer.
struct aged_pressure_report {
  pressure_report report_;
  milliseconds age_ = 0;  ///< ms since it was received.
};

}  // namespace birchlever

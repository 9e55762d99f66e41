/// How often one daemon may send to an upstream that has just started and bears few requests a second from
/// all daemons together.
///
/// Each daemon has turns of its own in time: in a period that is as long as all daemons together need at the
/// allowed rate, one request, within a second of the period's start. Periods begin at a different moment for
/// each daemon and upstream. So the sum over all daemons keeps to the rate without any message, in any cut of
/// the network, and what was not used does not add up to a burst.
#pragma once

#include <cstdint>

#include "birchlever/core/clock.h"

namespace birchlever {

/// What all daemons may send to a cold upstream.
struct cold_start_limit {
  double per_s_ = 0;          ///< Requests a second of all daemons together; 0: no bound.
  std::int64_t daemons_ = 1;  ///< That share it.
  milliseconds lasts_ = 0;    ///< How long an upstream is cold after a start.
};

/// A place in the row of periods: a request may be sent while `open_`, one for each number.
struct cold_start_turn {
  bool open_ = false;
  std::int64_t number_ = 0;
};

/// The turn of a daemon at a moment. `phase`, 0 to 1, differs between daemons and upstreams.
[[nodiscard]] auto cold_start_turn_at(const cold_start_limit& limit, double phase, milliseconds now)
    -> cold_start_turn;

}  // namespace birchlever

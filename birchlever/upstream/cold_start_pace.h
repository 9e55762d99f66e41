/// Rate limit for requests to an upstream that has just started, shared by all daemons without communication.
///
/// Time is divided into periods long enough for every daemon to send one request at the allowed rate. A
/// daemon may send one request per period, within one second of the period's start. Phases differ between
/// daemons and upstreams. The total rate holds during network partitions, and unused windows do not
/// accumulate.
#pragma once

#include <cstdint>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Rate limit of a cold upstream.
struct cold_start_limit {
  double per_s_ = 0;           ///< Requests per second from all daemons; 0 for no limit.
  std::int64_t daemons_ = 1;   ///< Number of daemons sharing the limit.
  milliseconds duration_ = 0;  ///< Time in ms for which an upstream is cold after a start.
};

/// State of the current period: one request per `number_` may be sent, while `open_` is set.
struct cold_start_window {
  bool open_ = false;
  std::int64_t number_ = 0;
};

/// Returns the state of the period that contains `now`, in ms. `phase` (0 to 1, a fraction of the period)
/// shifts its start and must differ between daemons and upstreams, so that they do not all send at once.
[[nodiscard]] auto cold_start_window_at(const cold_start_limit& limit, double phase, milliseconds now)
    -> cold_start_window;

}  // namespace birchlever

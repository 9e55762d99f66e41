/// Load of all upstreams of one service.
#pragma once

#include <cstdint>

namespace birchlever {

/// Current load, and counters since the start of this daemon.
struct service_load {
  double slots_ = 0;              ///< Of the upstreams that accept requests.
  double running_ = 0;            ///< Requests of this daemon in flight there.
  double running_elsewhere_ = 0;  ///< Requests of other daemons, as far as they reported.
  std::int64_t finished_ = 0;     ///< Requests that ended, including refused ones.
  std::int64_t refused_full_ = 0;
  std::int64_t responses_ = 0;    ///< Responses that started.
  std::int64_t response_ms_ = 0;  ///< Sum of the times from sending to the start of the response.
};

}  // namespace birchlever

/// Limits how long a request is held while the store is unavailable.
#pragma once

#include "birchlever/gateway/gateway_request.h"

namespace birchlever {

/// Returns how long after its arrival a stream may wait for the store, in ms. The limit follows from the
/// route's idle timeout and from the request's time limit, and is at least `min_hold`.
[[nodiscard]] auto max_stream_hold(const gateway_request& request, milliseconds min_hold) -> milliseconds;

}  // namespace birchlever

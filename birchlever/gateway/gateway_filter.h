/// One step of a request's way. A filter answers the request, or lets the next one go on, and may act after.
#pragma once

#include <functional>

#include "birchlever/gateway/gateway_request.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Runs the filters behind the present one.
using next_filter = std::function<task<>(gateway_request&)>;

/// What the gateway's chain is made of.
class gateway_filter {
 public:
  virtual ~gateway_filter() = default;

  /// Handles the request. Every request gets exactly one final answer from one filter of the chain.
  virtual auto apply(gateway_request& request, next_filter next) -> task<> = 0;
};

}  // namespace birchlever

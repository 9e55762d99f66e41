/// Interface of the gateway's filters.
#pragma once

#include <functional>

#include "birchlever/gateway/gateway_request.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Runs the remaining filters of the chain.
using next_filter = std::function<task<>(gateway_request&)>;

/// A filter either responds to the request or calls the next filter, and may act again after that returned.
class gateway_filter {
 public:
  virtual ~gateway_filter() = default;

  /// Handles the request. Exactly one filter of the chain sends the final response.
  virtual auto apply(gateway_request& request, next_filter next) -> task<> = 0;
};

}  // namespace birchlever

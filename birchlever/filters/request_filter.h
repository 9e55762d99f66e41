/// Interface of the filters that a caller's request passes through.
#pragma once

#include <memory>
#include <vector>

#include "birchlever/filters/request_context.h"

namespace birchlever {

/// Whether the next filter runs.
enum class filter_result { proceed, answered };

/// A processing step. A filter that returns `answered` must have set failure_ or replay_.
class request_filter {
 public:
  virtual ~request_filter() = default;

  /// Inspects, modifies or answers the request.
  virtual auto apply(request_context& context) -> filter_result = 0;
};

/// Runs filters in a fixed order.
class filter_chain {
 public:
  explicit filter_chain(std::vector<std::unique_ptr<request_filter>> filters)
      : filters_{std::move(filters)} {}

  /// Runs the filters until one of them answers the request.
  auto run(request_context& context) -> filter_result {
    for (auto& filter : filters_) {
      if (filter->apply(context) == filter_result::answered) {
        return filter_result::answered;
      }
    }
    return filter_result::proceed;
  }

 private:
  std::vector<std::unique_ptr<request_filter>> filters_;
};

/// Answers a request with a failure.
inline auto refuse(request_context& context, error failure) -> filter_result {
  context.failure_ = std::move(failure);
  return filter_result::answered;
}

}  // namespace birchlever

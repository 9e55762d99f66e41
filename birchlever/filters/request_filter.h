/// One step of the way of a request.
#pragma once

#include <memory>
#include <vector>

#include "birchlever/filters/request_context.h"

namespace birchlever {

/// Whether the request goes on to the next filter.
enum class filter_verdict { go_on, answered };

/// What embedders supply to add a step. A filter that answers sets failure_ or replay_.
class request_filter {
 public:
  virtual ~request_filter() = default;

  /// Looks at the request, changes it or answers it.
  virtual auto apply(request_context& context) -> filter_verdict = 0;
};

/// Filters in order.
class filter_chain {
 public:
  explicit filter_chain(std::vector<std::unique_ptr<request_filter>> filters)
      : filters_{std::move(filters)} {}

  /// Runs the filters until one answers.
  auto run(request_context& context) -> filter_verdict {
    for (auto& filter : filters_) {
      if (filter->apply(context) == filter_verdict::answered) {
        return filter_verdict::answered;
      }
    }
    return filter_verdict::go_on;
  }

 private:
  std::vector<std::unique_ptr<request_filter>> filters_;
};

/// Ends a request with a failure.
inline auto refuse(request_context& context, error failure) -> filter_verdict {
  context.failure_ = std::move(failure);
  return filter_verdict::answered;
}

}  // namespace birchlever

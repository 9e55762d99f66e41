/// Finds a request's route and service, and by when it must be answered.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

/// Answers 503 while no configuration is known, 404 only under a known one, 400 for unreadable headers.
class route_filter final : public gateway_filter {
 public:
  explicit route_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  std::shared_ptr<gateway_context> context_;
};

/// Finds a request's route and service in its configuration, and by when it must be answered. Failures:
/// unknown_route.
auto resolve_route(gateway_request& request) -> status;

}  // namespace birchlever

/// Selects the route, service and deadline of a request.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

/// Responds with 503 while no configuration is loaded, 404 to an unknown route, and 400 to malformed headers.
class route_filter final : public gateway_filter {
 public:
  explicit route_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  std::shared_ptr<gateway_context> context_;
};

/// Sets the request's route, service and deadline from its configuration. Failures: unknown_route.
auto resolve_route(gateway_request& request) -> status;

}  // namespace birchlever

/// Rejects requests under which too many upstreams ended, before they use budget or allotments.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

/// Computes the request's fingerprint and rejects the request if the crash guard says so.
class crash_filter final : public gateway_filter {
 public:
  explicit crash_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever

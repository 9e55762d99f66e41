/// Enforces the allotments of client accounts.
#pragma once

#include "birchlever/accounts/program_size_estimate.h"
#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

struct allotment_claim;

/// Responds with 429 and Retry-After if the allotment is exhausted, and paces requests that are granted with
/// a delay. Requests without an account or of an unlimited account pass.
class allotment_filter final : public gateway_filter {
 public:
  explicit allotment_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  [[nodiscard]] auto make_claim(const gateway_request& request, bool starts_program) const -> allotment_claim;

  std::shared_ptr<gateway_context> context_;
  program_size_estimate sizes_;
};

}  // namespace birchlever

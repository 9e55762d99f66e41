/// Lets a request go on while its client account's allotment has room.
#pragma once

#include "birchlever/accounts/program_size_estimate.h"
#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

struct allotment_claim;

/// Answers 429, with when to come back, beyond the allotment. Accounts without a limit, and requests without
/// an account, pass at no cost.
class allotment_filter final : public gateway_filter {
 public:
  explicit allotment_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  [[nodiscard]] auto claim_of(const gateway_request& request, bool begins) const -> allotment_claim;

  std::shared_ptr<gateway_context> context_;
  program_size_estimate sizes_;
};

}  // namespace birchlever

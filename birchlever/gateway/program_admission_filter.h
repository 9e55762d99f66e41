/// Limits new programs during a shortage.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

struct program_claim;
struct program_verdict;

/// Responds with 503 and Retry-After to the first turn of a program that is not admitted. Later turns, and
/// requests that cannot be distinguished from later turns, pass without delay.
class program_admission_filter final : public gateway_filter {
 public:
  explicit program_admission_filter(std::shared_ptr<gateway_context> context)
      : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  [[nodiscard]] auto make_claim(const gateway_request& request, milliseconds now) const -> program_claim;
  auto log_refusal(const gateway_request& request, const program_claim& claim,
                   const program_verdict& verdict) const -> void;

  std::shared_ptr<gateway_context> context_;
};

/// Returns true for the first turn of a program on a route that stores histories. A turn that resumes a
/// stream has been started before.
[[nodiscard]] auto is_first_turn(const gateway_request& request) -> bool;

}  // namespace birchlever

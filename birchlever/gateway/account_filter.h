/// Finds the client account that a request's key belongs to, by knowledge that is new enough to honour the
/// key.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

/// Answers 401 for a missing or unknown key, 503 when the knowledge stays too old for as long as the caller
/// can bear. Public routes need no key. Reads nothing of the store for a request: looks at the configuration
/// are shared by all that wait. Where the configuration tells no accounts apart, every request passes.
class account_filter final : public gateway_filter {
 public:
  explicit account_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  /// The moment of our clock at which the configuration must have been known to judge a request by it.
  [[nodiscard]] auto needed_knowledge(const gateway_request& request) const -> milliseconds;

  /// ms from its arrival for which a request may wait for newer knowledge.
  [[nodiscard]] auto longest_hold(const gateway_request& request) const -> milliseconds;
  auto hold(gateway_request& request) -> task<status>;
  static auto judge(gateway_request& request) -> status;

  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever

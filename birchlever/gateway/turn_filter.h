/// Turns of agent programs: history in front of the new input, budget before the send, answer kept before its
/// end goes out.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

struct scoped_name;
struct turn_record;

/// Turns of routes that keep them get their history and a reservation; others only their budget. Requests
/// without a budget, of routes that keep no turns, pass unchanged.
class turn_filter final : public gateway_filter {
 public:
  explicit turn_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  auto run_unkept(gateway_request& request, next_filter next) -> task<>;
  auto keep_answer(gateway_request& request, const scoped_name& program, turn_record kept) -> task<bool>;
  auto settle_broken(gateway_request& request, const scoped_name& program) -> void;

  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever

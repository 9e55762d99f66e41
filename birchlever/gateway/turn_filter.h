/// Handles the turns of agent programs: adds the history, reserves budget before a turn is sent, and stores
/// the response before its end is relayed.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"

namespace birchlever {

struct scoped_name;
struct turn_record;

/// On routes that retain turns, prepends the history to the input, reserves budget, and stores the response
/// before its end is sent. On other routes, draws from the budget if the request has one; else the request
/// passes unchanged.
class turn_filter final : public gateway_filter {
 public:
  explicit turn_filter(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  /// Claims the memory of a turn before its history is read, and waits for room until `wait_until`. Returns
  /// false if there is none by then.
  auto claim_history(gateway_request& request, const scoped_name& previous_turn, milliseconds wait_until)
      -> task<bool>;
  auto run_without_history(gateway_request& request, next_filter next) -> task<>;
  auto store_response(gateway_request& request, const scoped_name& program, turn_record record) -> task<bool>;
  auto settle_interrupted(gateway_request& request, const scoped_name& program) -> void;

  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever

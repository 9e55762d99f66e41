#include "birchlever/coordination/budget_account.h"

#include <algorithm>
#include <cassert>

#include "birchlever/core/test_switches.h"

namespace birchlever {

auto budget_account::remaining() const -> std::int64_t {
  return budget_ - committed();
}

auto budget_account::commit(std::int64_t cost) -> bool {
  if (cost > remaining()) {
    return false;
  }
  in_flight_ += cost;
  return true;
}

auto budget_account::cancel(std::int64_t cost) -> void {
  in_flight_ -= cost;
  assert(in_flight_ >= 0);
}

auto budget_account::needed_reservation(std::int64_t slice) const -> std::optional<std::int64_t> {
  if (covered()) {
    return std::nullopt;
  }
  return std::min(budget_, committed() + slice);
}

auto budget_account::covered() const -> bool {
  return committed() <= reserved_;
}

auto budget_account::record_reservation(std::int64_t reserved) -> void {
  reserved_ = std::max(reserved_, reserved);
}

auto budget_account::settle(std::int64_t cost, std::int64_t tokens) -> void {
  in_flight_ -= cost;
  settled_ += tokens;
  assert(in_flight_ >= 0);
}

auto budget_account::settle_held(std::int64_t cost, std::int64_t tokens) -> void {
  held_ -= std::min(held_, cost);
  settled_ += tokens;
}

auto budget_account::hold_unsettled() -> void {
  in_flight_ = 0;
  auto hold = test_switches::instance().mechanism_on("budget_hold");
  held_ = hold ? std::max<std::int64_t>(0, reserved_ - settled_) : 0;
}

}  // namespace birchlever

#include "birchlever/accounts/equal_shares.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;

}  // namespace

auto equal_shares::recent_grants(const std::string& account) -> grant_times& {
  auto& granted = granted_[account];
  auto oldest = clock_->now() - settings_.window_;
  while (!granted.empty() && granted.front() <= oldest) {
    granted.pop_front();
  }
  return granted;
}

auto equal_shares::record_granted(const std::string& account) -> void {
  recent_grants(account).push_back(clock_->now());
}

auto equal_shares::decide(const allotment_claim& request) -> allotment_decision {
  auto daemons = static_cast<double>(std::max<std::int64_t>(daemons_(), 1));
  auto limit = request.allotment_.max_requests_in(static_cast<double>(settings_.window_) / ms_per_second);
  auto share = settings_.granted_share_ * limit / daemons;
  auto usable = request.starts_program_ ? share * (1 - settings_.started_program_reserve_) : share;
  auto& granted = recent_grants(request.account_);
  if (static_cast<double>(granted.size()) + 1 <= usable) {
    granted.push_back(clock_->now());
    return {true, 0, 0};
  }
  auto retry_after =
      granted.empty() ? settings_.window_ : granted.front() + settings_.window_ - clock_->now();
  return {false, 0, std::max<milliseconds>(retry_after, 1)};
}

auto equal_shares::claim(allotment_claim request) -> task<allotment_decision> {
  co_return decide(request);
}

}  // namespace birchlever

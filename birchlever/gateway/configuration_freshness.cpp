#include "birchlever/gateway/configuration_freshness.h"

#include <algorithm>

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto outage_check_interval =
    milliseconds{100};  // Between estimates of the outage's remaining time while a request is held.

}  // namespace

auto configuration_freshness::record_poll(milliseconds started_at) -> void {
  if (verified_at_ && *verified_at_ >= started_at) {
    return;
  }
  if (std::exchange(stale_, false)) {
    log_event(log_level::info, "account_configuration_refreshed",
              {{"was_old_ms", verified_at_ ? clock_.now() - *verified_at_ : 0},
               {"age_ms", clock_.now() - started_at}});
  }
  verified_at_ = started_at;
  changed_.notify();
}

auto configuration_freshness::wait_until_covers(milliseconds time, milliseconds limit) -> task<bool> {
  auto deadline = clock_.now() + limit;
  if (!std::exchange(stale_, true)) {
    log_event(
        log_level::warning, "account_configuration_stale",
        {{"age_ms", verified_at_ ? clock_.now() - *verified_at_ : 0}, {"known", verified_at_.has_value()}});
  }
  if (expected_outage() > limit) {
    co_return covers(time);
  }
  if (waiters_++ == 0 && on_first_waiter_) {
    on_first_waiter_();
  }
  while (!covers(time) && clock_.now() < deadline) {
    auto left = deadline - clock_.now();
    if (expected_outage() > left) {
      break;
    }
    auto wait = expected_outage_ ? std::min(left, outage_check_interval) : left;
    co_await changed_.wait_for(wait);
  }
  --waiters_;
  co_return covers(time);
}

}  // namespace birchlever

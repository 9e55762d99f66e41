#include "birchlever/gateway/configuration_freshness.h"

#include "birchlever/telemetry/log.h"

namespace birchlever {

auto configuration_freshness::record_poll(milliseconds began_at) -> void {
  if (sure_at_ && *sure_at_ >= began_at) {
    return;
  }
  if (std::exchange(too_old_, false)) {
    log_event(log_level::info, "account_knowledge_renewed",
              {{"was_old_ms", sure_at_ ? clock_.now() - *sure_at_ : 0}, {"age_ms", clock_.now() - began_at}});
  }
  sure_at_ = began_at;
  changed_.notify();
}

auto configuration_freshness::wait_until_covers(milliseconds moment, milliseconds limit) -> task<bool> {
  auto due = clock_.now() + limit;
  if (!std::exchange(too_old_, true)) {
    log_event(log_level::warning, "account_knowledge_too_old",
              {{"age_ms", sure_at_ ? clock_.now() - *sure_at_ : 0}, {"known", sure_at_.has_value()}});
  }
  if (waiting_++ == 0 && on_wanted_) {
    on_wanted_();
  }
  while (!covers(moment) && clock_.now() < due) {
    co_await changed_.wait_for(due - clock_.now());
  }
  --waiting_;
  co_return covers(moment);
}

}  // namespace birchlever

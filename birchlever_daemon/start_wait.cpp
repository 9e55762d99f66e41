#include "birchlever_daemon/start_wait.h"

#include "birchlever/telemetry/log.h"
#include "birchlever_daemon/process_signals.h"

namespace birchlever {
namespace {

constexpr auto attempt_gap = milliseconds{100};
constexpr auto report_gap = milliseconds{5000};

auto may_pass(error_code code) -> bool {
  return code == error_code::address_unavailable || code == error_code::settings_incomplete;
}

}  // namespace

start_wait::start_wait(milliseconds limit)
    : limit_{limit}, began_at_{clock_.now()}, next_report_at_{began_at_} {}

auto start_wait::after(const error& reason) -> start_step {
  auto now = clock_.now();
  if (!may_pass(reason.code_) || now - began_at_ >= limit_) {
    log_failure(log_level::error, "daemon_not_started", reason);
    return start_step::failed;
  }
  if (now >= next_report_at_) {
    next_report_at_ = now + report_gap;
    log_event(log_level::warning, "start_waiting",
              {{"type", std::string{name_of(reason.code_)}},
               {"detail", reason.detail_},
               {"waited_ms", now - began_at_},
               {"limit_ms", limit_}});
  }
  waited_ = true;
  if (stop_requested_within(attempt_gap)) {
    log_event(log_level::info, "stopped", {{"before_start", true}});
    return start_step::stopped;
  }
  return start_step::retry;
}

auto start_wait::report_success() const -> void {
  if (waited_) {
    log_event(log_level::info, "start_wait_over", {{"waited_ms", clock_.now() - began_at_}});
  }
}

}  // namespace birchlever

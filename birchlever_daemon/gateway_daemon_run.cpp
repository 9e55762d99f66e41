/// The part of gateway_daemon that runs it, takes up changed settings and stops it.
#include "birchlever/coordination/allowance_ranges.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/http/connection_pool.h"
#include "birchlever/telemetry/log.h"
#include "birchlever_daemon/gateway_daemon.h"
#include "birchlever_daemon/gateway_flags.h"
#include "birchlever_daemon/settings_file.h"

namespace birchlever {
namespace {

constexpr auto housekeeping_gap = milliseconds{1000};
constexpr auto usage_gap =
    milliseconds{10000};  // One line a daemon each 10 s tells what it asks of the store.
constexpr auto ms_per_second = 1000.0;
constexpr auto balancer_looks_ms =
    milliseconds{2600};                              // It looks every second and takes out after two misses.
constexpr auto leave_margin_ms = milliseconds{700};  // Kept free of the time until the platform kills.
constexpr auto finish_check_gap = milliseconds{20};

}  // namespace

auto gateway_daemon::keep_house() -> task<> {
  auto usage_due = context_->clock_.now() + usage_gap;
  while (true) {
    co_await pause_for(loop_, housekeeping_gap);
    context_->upstream_connections_->sweep();
    if (context_->clock_.now() >= usage_due) {
      usage_due += usage_gap;
      log_usage();
    }
    if (ready() && !std::exchange(announced_ready_, true)) {
      log_event(log_level::info, "ready", {{"configuration", context_->configuration_->version_}});
    }
    if (auto text = read_settings_text(); text && *text != settings_text_) {
      reload(*text, "file_changed");
    }
  }
}

auto gateway_daemon::read_settings_text() -> std::optional<std::string> {
  if (settings_file_.empty()) {
    return std::nullopt;
  }
  auto text = read_settings_file(settings_file_);
  if (ok(text)) {
    settings_fault_.clear();
    return value(text);
  }
  if (std::exchange(settings_fault_, failure(text).detail_) != failure(text).detail_) {
    log_failure(log_level::error, "settings_file_unusable", failure(text));
  }
  return std::nullopt;
}

auto gateway_daemon::reload(const std::string& text, const char* cause) -> void {
  settings_text_ = text;
  auto faults = std::vector<setting_error>{};
  auto fresh = read_gateway_settings(text, settings_file_, faults);
  auto more = check_settings(fresh);
  faults.insert(faults.end(), more.begin(), more.end());
  for (const auto& fault : faults) {
    log_event(log_level::error, "setting_not_taken",
              {{"setting", fault.name_}, {"value", fault.value_}, {"reason", fault.reason_}});
  }
  if (!faults.empty()) {
    return;  // The settings in force stay.
  }
  auto needs_restart =
      fresh.caller_address_ != settings_.caller_address_ ||
      fresh.readiness_address_ != settings_.readiness_address_ ||
      fresh.store_address_ != settings_.store_address_ || fresh.spent_memory_ != settings_.spent_memory_ ||
      fresh.admission_ != settings_.admission_ || fresh.learn_speeds_ != settings_.learn_speeds_ ||
      fresh.store_breaker_ != settings_.store_breaker_ || fresh.memory_mb_ != settings_.memory_mb_ ||
      fresh.max_descriptors_ != settings_.max_descriptors_;
  settings_ = fresh;
  set_log_level(level_of(fresh.log_level_));
  auto loaded = load_policies();
  log_event(
      log_level::info, "reload",
      {{"cause", std::string{cause}}, {"policies_loaded", ok(loaded)}, {"needs_restart", needs_restart}});
}

auto gateway_daemon::wait_for_reload() -> task<> {
  while (true) {
    auto code = boost::system::error_code{};
    co_await reload_signals_.async_wait(resume_with(code));
    if (code) {
      co_return;
    }
    settings_fault_.clear();  // Who sends the signal looks for the outcome in the log.
    if (auto text = read_settings_text()) {
      reload(*text, "signal");
    }
  }
}

auto gateway_daemon::wait_for_stop() -> task<> {
  auto code = boost::system::error_code{};
  co_await stop_signals_.async_wait(resume_with(code));
  if (!code) {
    co_await stop();
  }
}

auto gateway_daemon::stop() -> task<> {
  auto began = context_->clock_.now();
  auto leave_at =
      began + static_cast<milliseconds>(settings_.stop_grace_s_ * ms_per_second) - leave_margin_ms;
  log_event(log_level::info, "stop", {{"under_way", std::int64_t{context_->in_flight_}}});
  context_->stopping_ = true;
  // The balancer goes on sending connections until it has looked twice; they are served.
  if (allowances_) {
    start(loop_, "release_allowances", allowances_->release());
  }
  context_->programs_->release_leases();
  auto quiet_at = std::min(began + balancer_looks_ms, leave_at);
  co_await pause_for(loop_, quiet_at - began);
  server_->stop_accepting();
  while ((context_->in_flight_ > 0 || server_->connections() > 0) && context_->clock_.now() < leave_at) {
    co_await pause_for(loop_, finish_check_gap);
  }
  finished_all_ = context_->in_flight_ == 0;
  log_event(log_level::info, "stopped",
            {{"under_way", std::int64_t{context_->in_flight_}}, {"took_ms", context_->clock_.now() - began}});
  loop_.stop();
}

auto gateway_daemon::run() -> bool {
  log_event(log_level::info, "start",
            {{"data_hall", settings_.data_hall_},
             {"caller_address", settings_.caller_address_},
             {"store_address", settings_.store_address_},
             {"first_start", settings_.first_start_ != 0}});
  run_until_stopped(loop_);
  return finished_all_;
}

}  // namespace birchlever

#include "birchlever/filters/admission_filter.h"

#include <algorithm>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto retry_after_ms = std::int64_t{1000};
constexpr auto max_thread_share = 0.9;  // The rest serves health checks, operators and rejections.

auto refusal(error_code code, const char* detail) -> error {
  return {code, detail, ran_state::not_run, retry_after_ms};
}

}  // namespace

admission_filter::admission_filter(std::shared_ptr<daemon_context> context)
    : context_{std::move(context)}, occupancy_{std::make_shared<occupancy>()} {}

auto admission_filter::apply(request_context& context) -> filter_result {
  if (context_->stopping_) {
    return refuse(context, refusal(error_code::stopping, "daemon is shutting down; retry on another one"));
  }
  auto bounded = test_switches::instance().mechanism_on("configuration_bound");
  if (bounded && !context_->configuration_->is_up_to_date()) {
    return refuse(context, refusal(error_code::configuration_stale,
                                   "configuration of this daemon has exceeded its maximum age"));
  }
  if (context.open_.order_.deadline_ <= 0) {
    return refuse(context, {error_code::deadline_exceeded, "deadline exceeded on arrival"});
  }
  auto full = acquire_slot(context);
  if (full) {
    context_->metrics_->count("admission_refusals_total");
    return refuse(context, std::move(*full));
  }
  context.deadline_at_ = context_->clock_->now() + context.open_.order_.deadline_;
  return filter_result::proceed;
}

auto admission_filter::acquire_slot(request_context& context) -> std::optional<error> {
  const auto& account = context.open_.order_.account_;
  auto configuration = context_->fleet_->configuration();
  auto account_entry = configuration->accounts_.find(account);
  auto limit = account_entry == configuration->accounts_.end() ? std::int64_t{1}
                                                               : account_entry->second.max_in_flight_;
  auto slots =
      static_cast<std::int64_t>(max_thread_share * static_cast<double>(context_->settings_.http_threads_));
  auto lock = std::lock_guard{occupancy_->mutex_};
  auto& account_calls = occupancy_->by_account_[account];
  if (account_calls >= limit) {
    return refusal(error_code::account_over_limit,
                   "client account has reached its limit of concurrent calls");
  }
  auto accounts = static_cast<std::int64_t>(occupancy_->by_account_.size());
  auto fair_share = std::max<std::int64_t>(1, slots / std::max<std::int64_t>(1, accounts));
  auto overloaded =
      occupancy_->total_ >= slots || (occupancy_->total_ * 2 >= slots && account_calls >= fair_share);
  if (overloaded) {
    return refusal(error_code::overloaded, "daemon has reached its limit of concurrent calls");
  }
  ++account_calls;
  ++occupancy_->total_;
  ++context_->calls_in_flight_;
  context.open_.account_share_ = static_cast<double>(account_calls) / static_cast<double>(fair_share);
  auto release = [state = occupancy_, daemon = context_, account](void*) {
    auto release_lock = std::lock_guard{state->mutex_};
    --state->total_;
    --daemon->calls_in_flight_;
    if (--state->by_account_[account] == 0) {
      state->by_account_.erase(account);
    }
  };
  context.admission_ = std::shared_ptr<void>{static_cast<void*>(this), release};
  return std::nullopt;
}

}  // namespace birchlever

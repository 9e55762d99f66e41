#include "birchlever/filters/admission_filter.h"

#include <algorithm>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto retry_ms = std::int64_t{1000};
constexpr auto share_of_threads = 0.9;  // The rest answers health checks, operators and refusals.

auto refusal(error_code code, const char* detail) -> error {
  return {code, detail, ran_state::not_run, retry_ms};
}

}  // namespace

admission_filter::admission_filter(std::shared_ptr<daemon_context> context)
    : context_{std::move(context)}, occupancy_{std::make_shared<occupancy>()} {}

auto admission_filter::apply(request_context& context) -> filter_verdict {
  if (context_->stopping_) {
    return refuse(context, refusal(error_code::stopping, "this daemon is stopping; ask another"));
  }
  auto bounded = test_switches::instance().mechanism_on("configuration_bound");
  if (bounded && !context_->configuration_->fresh()) {
    return refuse(context, refusal(error_code::configuration_stale,
                                   "this daemon cannot show that its configuration is in force"));
  }
  if (context.open_.order_.deadline_ <= 0) {
    return refuse(context, {error_code::deadline_exceeded, "the deadline has passed"});
  }
  auto full = take_place(context);
  if (full) {
    context_->metrics_->count("admission_refusals_total");
    return refuse(context, std::move(*full));
  }
  context.deadline_at_ = context_->clock_->now() + context.open_.order_.deadline_;
  return filter_verdict::go_on;
}

auto admission_filter::take_place(request_context& context) -> std::optional<error> {
  const auto& account = context.open_.order_.account_;
  auto configuration = context_->fleet_->configuration();
  auto known = configuration->accounts_.find(account);
  auto limit = known == configuration->accounts_.end() ? std::int64_t{1} : known->second.max_in_flight_;
  auto places =
      static_cast<std::int64_t>(share_of_threads * static_cast<double>(context_->settings_.http_threads_));
  auto lock = std::lock_guard{occupancy_->mutex_};
  auto& mine = occupancy_->by_account_[account];
  if (mine >= limit) {
    return refusal(error_code::account_over_limit, "the client account has too many calls under way");
  }
  auto accounts = static_cast<std::int64_t>(occupancy_->by_account_.size());
  auto fair = std::max<std::int64_t>(1, places / std::max<std::int64_t>(1, accounts));
  auto crowded = occupancy_->total_ >= places || (occupancy_->total_ * 2 >= places && mine >= fair);
  if (crowded) {
    return refusal(error_code::overloaded, "this daemon has as many calls under way as it can serve");
  }
  ++mine;
  ++occupancy_->total_;
  ++context_->calls_in_flight_;
  context.open_.account_share_ = static_cast<double>(mine) / static_cast<double>(fair);
  auto release = [shared = occupancy_, daemon = context_, account](void*) {
    auto release_lock = std::lock_guard{shared->mutex_};
    --shared->total_;
    --daemon->calls_in_flight_;
    if (--shared->by_account_[account] == 0) {
      shared->by_account_.erase(account);
    }
  };
  context.admission_ = std::shared_ptr<void>{static_cast<void*>(this), release};
  return std::nullopt;
}

}  // namespace birchlever

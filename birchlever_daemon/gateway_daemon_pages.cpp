/// The part of gateway_daemon that tells others about itself: readiness, metrics, relayed calls, usage of the
/// store.
#include "birchlever/controllers/budget_transfer.h"
#include "birchlever/controllers/central_grants.h"
#include "birchlever/controllers/crash_register.h"
#include "birchlever/controllers/peer_feed.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/coordination/program_sweeper.h"
#include "birchlever/core/memory_budget.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/gateway/crash_guard.h"
#include "birchlever/http/connection_limit.h"
#include "birchlever/http/connection_pool.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever_daemon/gateway_daemon.h"
#include "birchlever_daemon/process_memory.h"
#include "platform/names.h"
#include "platform/store_client.h"

namespace birchlever {
namespace {

constexpr auto unready_after_ms =
    milliseconds{1000};  // A store that is away for so long has turned us away or is down.

constexpr auto most_accounts = std::size_t{20};  // Of 1,200, shown by name in the metrics.
constexpr auto never_known = -1.0;

}  // namespace

auto gateway_daemon::ready() const -> bool {
  // Without the store, and without a peer that relays, callers go to others; when all are so, the balancer
  // uses all.
  auto store_answers = store_->unreachable_for() < unready_after_ms;
  return !context_->stopping_ && context_->configuration_ && upstream_follower_->primed() && store_answers;
}

auto gateway_daemon::readiness_page(const http_request& request) const -> task<http_response> {
  auto known = request.target() == platform::names::readiness_path;
  auto status = ready() ? http::status::ok : http::status::service_unavailable;
  co_return http_response{known ? status : http::status::not_found, 11};
}

auto gateway_daemon::control_page(const http_request& request) -> task<http_response> {
  if (platform::store_client::is_relay(request)) {
    auto relayed = co_await store_->relay(request);
    co_return relayed;
  }
  if (budget_transfer_ && budget_transfer::is_request(request)) {
    co_return budget_transfer_->answer(*context_->programs_, request);
  }
  if (upstream_feed_ && peer_feed::is_request(request)) {
    auto changes = co_await upstream_feed_->answer(request);
    co_return changes;
  }
  if (request.target() == "/metrics") {
    co_return metrics_page();
  }
  co_return http_response{http::status::not_found, 11};
}

auto gateway_daemon::add_speed_gauges(metrics& counters) const -> void {
  auto speeds = context_->upstreams_->speed_counts();
  counters.gauge("upstream_speed_observations{by=\"self\"}", static_cast<double>(speeds.own_observations_));
  counters.gauge("upstream_speed_observations{by=\"peers\"}", static_cast<double>(speeds.peer_observations_));
  counters.gauge("upstream_speed_changes", static_cast<double>(speeds.changes_));
  auto slower = 0.0;
  auto faster = 0.0;
  context_->upstreams_->each([&](const upstream& one) {
    auto slowness = context_->upstreams_->slowness_of(one);
    slower += slowness > 1 ? 1 : 0;
    faster += slowness < 1 ? 1 : 0;
  });
  counters.gauge("upstreams_by_speed{speed=\"slower\"}", slower);
  counters.gauge("upstreams_by_speed{speed=\"faster\"}", faster);
}

auto gateway_daemon::metrics_page() -> http_response {
  auto& counters = *context_->metrics_;
  counters.gauge("requests_under_way", context_->in_flight_);
  counters.gauge("suspected_works", static_cast<double>(crashes_->history().size()));
  counters.gauge("crash_rows", static_cast<double>(crashes_->stored_rows()));
  counters.gauge("crash_limit", context_->crash_guard_->max_crashes());
  counters.gauge("peer_contact", static_cast<double>(contact_with_peers()));
  counters.gauge("caller_connections", static_cast<double>(server_->connections()));
  counters.gauge("accepted_connections", static_cast<double>(context_->connections_->open()));
  counters.gauge("accepted_connections_limit", static_cast<double>(context_->connections_->most()));
  counters.gauge("idle_connections_closed", static_cast<double>(context_->connections_->closed()));
  const auto& usage = store_->usage();
  counters.gauge("store_calls", static_cast<double>(usage.calls()));
  counters.gauge("store_calls_by_kind{kind=\"transaction\"}", static_cast<double>(usage.transactions_));
  counters.gauge("store_calls_by_kind{kind=\"read\"}", static_cast<double>(usage.reads_));
  counters.gauge("store_calls_by_kind{kind=\"feed\"}", static_cast<double>(usage.feed_polls_));
  counters.gauge("store_calls_by_outcome{outcome=\"conflict\"}", static_cast<double>(usage.conflicts_));
  counters.gauge("store_calls_by_outcome{outcome=\"throttled\"}", static_cast<double>(usage.throttled_));
  counters.gauge("store_calls_by_outcome{outcome=\"failed\"}", static_cast<double>(usage.failed_));
  counters.gauge("store_writes_waiting", static_cast<double>(store_->queued_writes()));
  counters.gauge("upstreams_listed", static_cast<double>(context_->upstreams_->size()));
  counters.gauge("upstream_entries_unreadable", static_cast<double>(upstream_follower_->unreadable()));
  counters.gauge("store_reachable", store_->reachable() ? 1 : 0);
  if (const auto* breaker = store_->breaker()) {
    counters.gauge("store_breaker_open", breaker->is_open() ? 1 : 0);
    counters.gauge("store_breaker_openings", static_cast<double>(breaker->openings()));
    counters.gauge("store_probes", static_cast<double>(usage.probes_));
    counters.gauge("store_outage_expected_left_ms", static_cast<double>(store_->expected_outage_left()));
    counters.gauge("store_calls_recovering", static_cast<double>(store_->recovering_calls()));
  }
  counters.gauge("peers_heard", peers_ ? static_cast<double>(peers_->views().recent_peers()) : 0);
  counters.gauge("log_lines_dropped", static_cast<double>(dropped_log_lines()));
  counters.gauge("memory_held_bytes", static_cast<double>(context_->memory_->held()));
  counters.gauge("memory_held_limit_bytes", static_cast<double>(context_->memory_->limit()));
  counters.gauge("memory_claims_revoked", static_cast<double>(context_->memory_->revoked()));
  counters.gauge("process_resident_bytes", static_cast<double>(resident_bytes()));
  counters.gauge("process_open_descriptors", static_cast<double>(open_descriptors()));
  counters.gauge("programs_removed", static_cast<double>(sweeper_->removed()));
  counters.gauge("history_cache_bytes", static_cast<double>(context_->programs_->cached_bytes()));
  const auto& budgets = context_->programs_->statistics();
  counters.gauge("budget_refusals_from_memory", static_cast<double>(budgets.refused_from_memory_));
  counters.gauge("spent_reports_checked{result=\"confirmed\"}",
                 static_cast<double>(budgets.reports_confirmed_));
  counters.gauge("spent_reports_checked{result=\"refuted\"}", static_cast<double>(budgets.reports_refuted_));
  counters.gauge("budget_leases_shared", static_cast<double>(budgets.shared_leases_));
  counters.gauge("budget_waits", static_cast<double>(budgets.waits_));
  counters.gauge("budget_waits_served", static_cast<double>(budgets.waits_served_));
  counters.gauge("leases_not_witnessed", static_cast<double>(budgets.leases_not_witnessed_));
  counters.gauge("leases_inquired{result=\"unused\"}", static_cast<double>(budgets.leases_found_unused_));
  counters.gauge("leases_inquired{result=\"unresolved\"}", static_cast<double>(budgets.leases_unresolved_));
  counters.gauge("leases_unaccounted", static_cast<double>(budgets.leases_unaccounted_));
  counters.gauge("budget_overdrafts", static_cast<double>(budgets.overdrafts_));
  counters.gauge("leases_remembered", static_cast<double>(context_->programs_->remembered_leases()));
  counters.gauge("upstream_connections_opened",
                 static_cast<double>(context_->upstream_connections_->opened()));
  counters.gauge("configuration_version",
                 context_->configuration_ ? static_cast<double>(context_->configuration_->version_) : 0);
  auto sure_at = context_->freshness_->verified_at();
  counters.gauge("configuration_age_ms",
                 sure_at ? static_cast<double>(context_->clock_.now() - *sure_at) : never_known);
  counters.gauge("allotments_without_grantor",
                 grants_ ? static_cast<double>(grants_->fallback_decisions()) : 0);
  if (settings_.learn_speeds_ != 0) {
    add_speed_gauges(counters);
  }
  auto answer = http_response{http::status::ok, 11};
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  const auto* book = context_->configuration_ ? context_->configuration_->accounts_.get() : nullptr;
  answer.body() = counters.to_prometheus() + context_->usage_.to_prometheus(book, most_accounts);
  return answer;
}

auto gateway_daemon::log_usage() -> void {
  const auto& usage = store_->usage();
  if (usage.calls() == std::exchange(logged_calls_, usage.calls())) {
    return;
  }
  log_event(log_level::info, "store_usage",
            {{"transactions", usage.transactions_},
             {"conflicts", usage.conflicts_},
             {"reads", usage.reads_},
             {"feed_looks", usage.feed_polls_},
             {"throttled", usage.throttled_},
             {"failed", usage.failed_},
             {"history_cache_bytes", static_cast<std::int64_t>(context_->programs_->cached_bytes())},
             {"under_way", std::int64_t{context_->in_flight_}}});
}

}  // namespace birchlever

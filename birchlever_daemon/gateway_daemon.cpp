#include "birchlever_daemon/gateway_daemon.h"

#include <csignal>
#include <random>

#include "birchlever/coordination/allowance_ranges.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/coordination/program_sweeper.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/memory_budget.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/http/bind_failure.h"
#include "birchlever/http/connection_limit.h"
#include "birchlever/http/connection_pool.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever_daemon/process_descriptors.h"
#include "birchlever_daemon/process_memory.h"
#include "platform/decode.h"
#include "platform/header_dialect.h"
#include "platform/names.h"
#include "platform/store_client.h"

namespace birchlever {
namespace {

constexpr auto engine_policy_name = "engines";
constexpr auto service_policy_name = "services";
constexpr auto kept_over_retention = 2;  // Spent budgets stay known beyond the turns they paid for.
constexpr auto least_kept =
    milliseconds{300'000};  // Rows are cheap; a retention that is set too low must not hurt.
constexpr auto ms_per_second = 1000.0;
constexpr auto trust_margin = 10;  // A tenth less than the bound: timers fire late, and a request that was
                                   // judged is sent on a moment later.
constexpr auto never_verified = milliseconds{-1};
constexpr auto renewal_gap = milliseconds{150};  // Between two looks that requests wait for and that failed.

}  // namespace

gateway_daemon::gateway_daemon(const gateway_settings& settings, std::string settings_file,
                               std::string settings_text)
    : settings_{settings},
      settings_file_{std::move(settings_file)},
      settings_text_{std::move(settings_text)},
      incarnation_{std::random_device{}()},
      random_{incarnation_},
      stop_signals_{loop_, SIGTERM, SIGINT},
      reload_signals_{loop_, SIGHUP},
      context_{std::make_shared<gateway_context>()} {}

gateway_daemon::~gateway_daemon() {
  // The server and its listener hold each other; an open port would keep the next attempt to start from it.
  if (server_) {
    server_->stop_accepting();
  }
  for (const auto& listener : {readiness_listener_, control_listener_}) {
    if (listener) {
      listener->stop();
    }
  }
}

auto gateway_daemon::create(const gateway_settings& settings, const std::string& settings_file,
                            const std::string& settings_text) -> result<std::unique_ptr<gateway_daemon>> {
  try {
    auto made = std::unique_ptr<gateway_daemon>{new gateway_daemon{settings, settings_file, settings_text}};
    auto opened = made->open();
    if (!ok(opened)) {
      return failure(opened);
    }
    return made;
  } catch (const boost::system::system_error& fault) {
    return open_failure("the event loop", fault.code());
  }
}

auto gateway_daemon::open() -> status {
  auto store_address = parse_address(settings_.store_address_);
  if (!ok(store_address)) {
    return failure(store_address);
  }
  auto store_settings = platform::store_client_settings{};
  store_settings.address_ = value(store_address);
  store_settings.jitter_seed_ = static_cast<std::uint32_t>(hash_of(settings_.vm_id_));
  if (settings_.store_breaker_ != 0) {
    store_settings.breaker_ = store_breaker_settings{};
    store_settings.breaker_->jitter_seed_ = store_settings.jitter_seed_;
  }
  store_ = platform::store_client::create(loop_, store_settings);
  auto program_settings = program_store_settings{};
  program_settings.daemon_ = incarnation_name();
  program_settings.draw_ahead_ = settings_.draw_ahead_;
  program_settings.cache_bytes_ = static_cast<std::size_t>(settings_.history_cache_bytes_);
  program_settings.max_start_wait_ = settings_.store_patience_ms_;
  program_settings.retry_after_ = settings_.store_retry_ms_;
  program_settings.spent_memory_ = settings_.spent_memory_ != 0;
  program_settings.witnessed_leases_ = true;
  auto programs = program_store::create(loop_, store_, program_settings);
  if (!ok(programs)) {
    return failure(programs);
  }
  auto regions = hall_regions::parse(settings_.hall_regions_);
  if (!ok(regions)) {
    return failure(regions);
  }
  regions_ = std::move(value(regions));
  auto directory_settings = upstream_directory_settings{};
  directory_settings.data_hall_ = settings_.data_hall_;
  directory_settings.regions_ = regions_;
  directory_settings.jitter_seed_ = hash_of(settings_.vm_id_);
  directory_settings.learn_speeds_ = settings_.learn_speeds_ != 0;
  context_->loop_ = &loop_;
  context_->dialect_ = std::make_shared<platform::header_dialect>();
  context_->upstream_connections_ = connection_pool::create(loop_, {});
  context_->upstreams_ = std::make_shared<upstream_directory>(directory_settings);
  context_->upstreams_->set_connection_check([this](const asio::ip::tcp::endpoint& address) {
    return context_->upstream_connections_->has_idle(address, context_->limits_.streaming_max_idle_ms_);
  });
  context_->programs_ = value(programs);
  watch_freshness();
  context_->policies_ = std::make_shared<policy_registry>();
  context_->metrics_ = std::make_shared<metrics>();
  context_->memory_ = memory_budget::create(memory_for_callers(settings_.memory_mb_));
  limit_connections();
  context_->engine_policy_ = engine_policy_name;
  context_->service_policy_ = service_policy_name;
  context_->program_affinity_ = settings_.home_upstreams_ != 0;
  enable_admission();
  auto loaded = load_policies();
  if (!ok(loaded)) {
    return loaded;
  }
  auto listening = open_ports();
  if (!ok(listening)) {
    return listening;
  }
  auto joined = join_peers();
  if (!ok(joined)) {
    return joined;
  }
  follow_store();
  track_crashes();
  auto sweeping = sweep_programs();
  if (!ok(sweeping)) {
    return sweeping;
  }
  start(loop_, "wait_for_stop", wait_for_stop());
  start(loop_, "wait_for_reload", wait_for_reload());
  start(loop_, "keep_house", keep_house());
  return success;
}

auto gateway_daemon::limit_connections() -> void {
  auto descriptors = raise_descriptor_limit(settings_.max_descriptors_);
  auto most = std::min(connections_for_callers(descriptors), connections_within_memory(settings_.memory_mb_));
  context_->connections_ = std::make_shared<connection_limit>(most);
}

auto gateway_daemon::load_policies() -> status {
  auto engines = parse_policy(settings_.engine_policy_);
  auto services = parse_policy(settings_.service_policy_);
  if (!ok(engines)) {
    return failure(engines);
  }
  if (!ok(services)) {
    return failure(services);
  }
  context_->policies_->load({{engine_policy_name, value(engines)}, {service_policy_name, value(services)}},
                            {});
  return success;
}

auto gateway_daemon::open_ports() -> status {
  auto readiness = http_listener::create(
      loop_, settings_.readiness_address_,
      serve_pages([this](const http_request& request) { return readiness_page(request); }, context_->memory_,
                  context_->connections_));
  if (!ok(readiness)) {
    return failure(readiness);
  }
  readiness_listener_ = std::move(value(readiness));
  auto server = gateway_server::create(context_, settings_.caller_address_);
  if (!ok(server)) {
    return failure(server);
  }
  server_ = std::move(value(server));
  if (settings_.control_address_.empty()) {
    return success;
  }
  auto control =
      http_listener::create(loop_, settings_.control_address_,
                            serve_pages([this](const http_request& request) { return control_page(request); },
                                        context_->memory_, context_->connections_));
  if (!ok(control)) {
    return failure(control);
  }
  control_listener_ = std::move(value(control));
  return success;
}

auto gateway_daemon::follow_store() -> void {
  auto settings = table_follower_settings{};
  settings.table_ = platform::names::operator_table;
  settings.wait_ = poll_wait_within(settings_.configuration_apply_ms_, store_->feed_poll_grace());
  auto take_all = [this](const std::vector<stored_row>& rows, bool whole_table) {
    take_closures(rows, whole_table);
    for (const auto& row : rows) {
      take_configuration(row);
    }
  };
  auto scanned = std::make_shared<std::vector<stored_row>>();
  auto events = table_follower_events{};
  events.scan_started_ = [scanned] { scanned->clear(); };
  events.page_scanned_ = [scanned](const auto& rows) {
    scanned->insert(scanned->end(), rows.begin(), rows.end());
  };
  events.scan_ended_ = [take_all, scanned](std::int64_t /*version*/) { take_all(*scanned, true); };
  events.changes_ = [take_all](const auto& rows) { take_all(rows, false); };
  events.verified_ = [this](milliseconds began_at) { context_->freshness_->record_poll(began_at); };
  configuration_follower_ = table_follower::create(loop_, store_, settings, std::move(events));
  upstream_follower_ = upstream_follower::create(
      loop_, store_, platform::names::upstream_table, context_->upstreams_, platform::decode_upstream,
      static_cast<milliseconds>(settings_.lapse_return_s_ * ms_per_second), upstream_feed_);
}

auto gateway_daemon::watch_freshness() -> void {
  auto& trust = context_->freshness_limits_;
  trust.known_key_max_age_ms_ = settings_.revoke_ms_ - settings_.revoke_ms_ / trust_margin;
  trust.unknown_key_max_age_ms_ = settings_.configuration_apply_ms_;
  trust.min_stream_hold_ms_ = settings_.store_patience_ms_;
  trust.retry_ms_ = settings_.store_retry_ms_;
  context_->freshness_ = std::make_shared<configuration_freshness>(loop_);
  if (settings_.store_breaker_ != 0) {
    context_->freshness_->set_expected_outage([this] { return store_->expected_outage_left(); });
  }
  context_->freshness_->on_first_waiter(
      [this] { start(loop_, "renew_configuration", renew_configuration()); });
}

auto gateway_daemon::renew_configuration() -> task<> {
  while (context_->freshness_->has_waiters()) {
    auto answered = co_await configuration_follower_->poll_now();
    if (!answered) {
      co_await pause_for(loop_, renewal_gap);
    }
  }
}

auto gateway_daemon::take_configuration(const stored_row& row) -> void {
  if (row.key_.key_ != platform::names::configuration_key || row.removed_) {
    return;
  }
  auto decoded = platform::decode_configuration(row.value_);
  if (!ok(decoded)) {
    log_failure(log_level::error, "configuration_unreadable", failure(decoded));  // The last good one stays.
    return;
  }
  auto known = context_->configuration_ ? context_->configuration_->version_ : -1;
  if (value(decoded).version_ <= known) {
    return;
  }
  auto verified_at = context_->freshness_->verified_at();
  log_event(log_level::info, "configuration_taken",
            {{"version", value(decoded).version_},
             {"before", known},
             {"row_version", row.version_},
             {"before_verified_ms", verified_at ? context_->clock_.now() - *verified_at : never_verified},
             {"routes", static_cast<std::int64_t>(value(decoded).routes_.size())},
             {"accounts", value(decoded).accounts_
                              ? static_cast<std::int64_t>(value(decoded).accounts_->accounts().size())
                              : 0}});
  context_->configuration_ = std::make_shared<const serving_configuration>(std::move(value(decoded)));
}

auto gateway_daemon::take_closures(const std::vector<stored_row>& rows, bool whole_table) -> void {
  auto closed = whole_table ? std::set<std::string>{} : closed_halls_;
  for (const auto& row : rows) {
    auto hall = platform::evacuated_data_hall(row.key_.key_);
    if (hall && row.removed_) {
      closed.erase(*hall);
    } else if (hall) {
      closed.insert(*hall);
    }
  }
  if (closed == closed_halls_) {
    return;
  }
  auto names = std::string{};
  for (const auto& hall : closed) {
    names += (names.empty() ? "" : ",") + hall;
  }
  log_event(log_level::info, "halls_closed", {{"halls", names}});
  closed_halls_ = closed;
  context_->upstreams_->close_halls(std::move(closed));
}

auto gateway_daemon::sweep_programs() -> status {
  auto owns = [this](const std::string& part) { return !peers_ || peers_->views().preferred_for(part); };
  auto sweeper = program_sweeper::create(loop_, store_, {}, owns, [this] { return kept_after_change(); });
  if (!ok(sweeper)) {
    return failure(sweeper);
  }
  sweeper_ = value(sweeper);
  return success;
}

auto gateway_daemon::kept_after_change() const -> milliseconds {
  auto longest = milliseconds{0};
  if (context_->configuration_) {
    for (const auto& route : context_->configuration_->routes_) {
      longest = std::max(longest, route.retention_);
    }
  }
  return longest == 0 ? 0 : std::max(kept_over_retention * longest, least_kept);
}

}  // namespace birchlever

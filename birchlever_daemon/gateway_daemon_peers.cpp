/// The part of gateway_daemon that works with other daemons: what they tell each other, budgets handed over,
/// allowances, calls of the store made for each other.
#include "birchlever/accounts/equal_shares.h"
#include "birchlever/accounts/reachable_share.h"
#include "birchlever/admission/pressure_measure.h"
#include "birchlever/admission/program_admission.h"
#include "birchlever/controllers/budget_transfer.h"
#include "birchlever/controllers/central_grants.h"
#include "birchlever/controllers/peer_feed.h"
#include "birchlever/coordination/allowance_ranges.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever_daemon/gateway_daemon.h"
#include "platform/decode.h"
#include "platform/store_client.h"

namespace birchlever {
namespace {

constexpr auto peer_look_gap = milliseconds{100};       // Half of the gap between two messages of a peer.
constexpr auto grants_port_offset = 1;                  // The first port is the peers' own messages'.
constexpr auto allotment_hearing = milliseconds{1200};  // Six messages of each peer. A cut shows after so
                                                        // long; until then both sides grant the whole.
constexpr auto peer_gone_after =
    milliseconds{30000};  // A daemon that is silent for so long was removed: cuts last
                          // some ten seconds. At 350 daemons each is heard by then.
constexpr auto unknown_fleet = std::int64_t{1000};      // Daemons that are assumed until the list of them is
                                                        // known, so that nobody takes too large a share.
constexpr auto witness_max_age = milliseconds{3000};    // A peer that was silent for longer may have ended.
constexpr auto peer_address_age = milliseconds{10000};  // Addresses stay; of a thousand peers half are heard
                                                        // within it. One that was lost does not answer.
constexpr auto peer_clock_margin = milliseconds{150};   // Calls that were under way when the store went away.
constexpr auto ms_per_second = 1000.0;

auto name_of_process(const std::string& vm, std::uint32_t incarnation) -> std::string {
  return vm + "@" + std::to_string(incarnation);
}
// Time between two samples of the store's writes.
constexpr auto pressure_gap = milliseconds{100};
// Services are sampled less often, since this visits up to 10,000 upstreams.
constexpr auto samples_per_service_sample = std::int64_t{2};

}  // namespace

auto gateway_daemon::join_peers() -> status {
  auto first_port = settings_.peer_ports_.substr(0, settings_.peer_ports_.find(','));
  if (first_port.empty()) {
    return keep_allotments();
  }
  auto settings = peer_exchange_settings{};
  settings.vm_ = settings_.vm_id_;
  settings.address_ =
      settings_.caller_address_.substr(0, settings_.caller_address_.rfind(':')) + ":" + first_port;
  auto joined = peer_exchange::create(loop_, store_, settings, [this] { return describe_self(); });
  if (!ok(joined)) {
    return failure(joined);
  }
  peers_ = std::move(value(joined));
  peers_->on_health_report([this](const std::string& peer, const upstream_health_report& news) {
    context_->upstreams_->apply_peer_report(peer, news);
  });
  context_->upstreams_->on_health_report(
      [this](const upstream_health_report& news) { peers_->publish(news); });
  auto transfer_settings = budget_transfer_settings{};
  transfer_settings.daemon_ = incarnation_name();
  budget_transfer_ = budget_transfer::create(
      loop_, transfer_settings, [this] { return peers_->views().addresses_within(peer_address_age); });
  budget_transfer_->set_witnesses([this] { return choose_process(); });
  context_->programs_->set_budget_peers(budget_transfer_);
  auto held = hold_allowances();
  if (!ok(held)) {
    return held;
  }
  share_upstream_feed();
  auto kept = keep_allotments();
  if (!ok(kept)) {
    return kept;
  }
  store_->set_relay([this] { return relay_through(); });
  context_->daemon_count_ = unknown_fleet;
  start(loop_, "follow_peers", follow_peers());
  return success;
}

auto gateway_daemon::keep_allotments() -> status {
  joined_at_ = context_->clock_.now();
  if (settings_.allotments_ == "off") {
    return success;
  }
  if (settings_.allotments_ == "equal" || !peers_) {  // Without peers this daemon's share is the whole.
    auto count = [this] { return context_->daemon_count_; };
    context_->allotments_ =
        std::make_shared<equal_shares>(equal_shares_settings{}, count, std::make_shared<steady_clock>());
    return success;
  }
  auto first_port = parse_address(peers_->settings().address_);
  if (!ok(first_port)) {
    return failure(first_port);
  }
  auto settings = central_grants_settings{};
  settings.vm_ = settings_.vm_id_;
  settings.address_ = value(first_port).address().to_string() + ":" +
                      std::to_string(value(first_port).port() + grants_port_offset);
  settings.grantor_.buckets_.overdraft_ = settings_.allotment_tolerance_ / 2;
  auto limit_of = [this](const std::string& name) -> std::optional<account_allotment> {
    auto book = context_->configuration_ ? context_->configuration_->accounts_ : nullptr;
    const auto* account = book ? book->find(name) : nullptr;
    return account == nullptr ? std::nullopt : std::optional{account->allotment_};
  };
  auto made = central_grants::create(loop_, settings, limit_of, [this] { return allotment_share(); });
  if (!ok(made)) {
    return failure(made);
  }
  grants_ = std::move(value(made));
  context_->allotments_ = grants_;
  peers_->on_peer_seen([this](const std::string& vm) { grants_->record_seen(vm); });
  peers_->on_list([this](const std::map<std::string, asio::ip::udp::endpoint>& listed) {
    auto members = central_grants::member_map{};
    for (const auto& [vm, address] : listed) {
      auto port = static_cast<unsigned short>(address.port() + grants_port_offset);
      members.emplace(vm, asio::ip::udp::endpoint{address.address(), port});
    }
    grants_->set_members(std::move(members));
  });
  return success;
}

auto gateway_daemon::allotment_share() const -> double {
  return reachable_share(reachability_within(allotment_hearing));
}

auto gateway_daemon::reachability_within(milliseconds window) const -> peer_reachability {
  auto heard = peer_reachability{};
  heard.live_ = peers_->views().seen_within(peer_gone_after);
  heard.window_ = window;
  heard.seen_ = peers_->views().seen_within(window);
  heard.receiving_for_ = context_->clock_.now() - joined_at_;
  heard.send_interval_ = peers_->settings().send_interval_;
  heard.fanout_ = static_cast<std::size_t>(peers_->settings().max_receivers_);
  return heard;
}

auto gateway_daemon::hold_allowances() -> status {
  if (settings_.allowances_ == 0) {
    return success;
  }
  auto settings = allowance_settings{};
  settings.daemon_ = incarnation_name();
  auto prefers = [this](std::string_view subject) { return peers_->views().preferred_for(subject); };
  auto made =
      allowance_ranges::create(loop_, store_, settings, prefers, [this] { return kept_after_change(); });
  if (!ok(made)) {
    return failure(made);
  }
  allowances_ = value(made);
  budget_transfer_->set_allowances(allowances_,
                                   [this](int range) { return peers_->views().holder_of_allowance(range); });
  return success;
}

auto gateway_daemon::share_upstream_feed() -> void {
  if (settings_.share_feed_ == 0 || settings_.control_address_.empty()) {
    return;
  }
  auto settings = peer_feed_settings{};
  settings.vm_ = settings_.vm_id_;
  settings.cores_ = settings_.cores_;
  auto meaning = [](const stored_row& row) { return platform::upstream_digest(row.value_); };
  auto pack = [](const stored_row& row) { return platform::pack_upstream(row.value_); };
  upstream_feed_ = peer_feed::create(loop_, store_, peers_->views(), settings, meaning, pack);
}

auto gateway_daemon::incarnation_name() const -> std::string {
  return name_of_process(settings_.vm_id_, incarnation_);
}

auto gateway_daemon::choose_process() -> std::optional<std::string> {
  const auto* peer =
      peers_->views().find_process(random_(), witness_max_age, regions_.region_of(settings_.data_hall_));
  return peer == nullptr ? std::nullopt : std::optional{name_of_process(peer->vm_, *peer->incarnation_)};
}

auto gateway_daemon::describe_self() const -> peer_state {
  auto state = peer_state{};
  state.vm_ = settings_.vm_id_;
  state.store_response_age_ = store_->time_since_response();
  state.configuration_ = context_->configuration_ ? context_->configuration_->version_ : 0;
  state.control_address_ = settings_.control_address_;
  state.allowance_ranges_ = allowances_ ? allowances_->held_ranges() : 0;
  state.follows_ = upstream_feed_ && upstream_feed_->follows();
  if (upstream_feed_) {
    state.followers_ = upstream_feed_->reported_followers();
  }
  state.cores_ = settings_.cores_;
  state.region_ = regions_.region_of(settings_.data_hall_);
  context_->upstreams_->each_busy(
      [&](const upstream& one) { state.running_[one.entry().id_] = one.running(); });
  state.spent_ = context_->programs_->next_spent_reports();
  if (context_->pressure_) {
    state.pressure_ = context_->pressure_->report(context_->clock_.now());
  }
  state.speeds_ = context_->upstreams_->speed_reports();
  if (settings_.first_start_ == 0) {
    state.uptime_ = context_->clock_.now() - joined_at_;
  }
  state.incarnation_ = incarnation_;
  return state;
}

auto gateway_daemon::follow_peers() -> task<> {
  while (true) {
    co_await pause_for(loop_, peer_look_gap);
    context_->upstreams_->detect_stalled();
    context_->daemon_count_ =
        peers_->list_known() ? static_cast<std::int64_t>(peers_->listed_peers()) + 1 : unknown_fleet;
    store_->set_fleet_capacity(settings_.store_writes_per_s_, context_->daemon_count_);
    context_->upstreams_->set_running_elsewhere(peers_->views().running_elsewhere());
    context_->programs_->record_spent_reports(peers_->take_spent_reports());
    for (const auto& speeds : peers_->take_speeds()) {
      context_->upstreams_->apply_speed_reports(speeds.vm_, speeds.reports_);
    }
    context_->upstreams_->detect_slow();
  }
}

auto gateway_daemon::enable_admission() -> void {
  if (settings_.admission_ == 0) {
    return;
  }
  context_->admission_ = std::make_shared<program_admission>();
  context_->pressure_ = std::make_shared<pressure_measure>();
  start(loop_, "watch_pressure", watch_pressure());
}

auto gateway_daemon::watch_pressure() -> task<> {
  for (auto number = std::int64_t{0};; ++number) {
    co_await pause_for(loop_, pressure_gap);
    sample_pressure(number % samples_per_service_sample == 0);
  }
}

auto gateway_daemon::program_service_loads() const -> std::map<std::string, service_load> {
  auto loads = std::map<std::string, service_load>{};
  if (!context_->configuration_) {
    return loads;
  }
  auto all = context_->upstreams_->service_loads();
  for (const auto& route : context_->configuration_->routes_) {
    if (!route.retains_turns_) {
      continue;
    }
    for (const auto& used : route.services_) {
      loads[used.service_] = all[used.service_];
    }
  }
  return loads;
}

auto gateway_daemon::sample_pressure(bool with_services) -> void {
  auto now = context_->clock_.now();
  auto sample = pressure_sample{};
  sample.write_wait_ = store_->expected_write_wait(write_priority::starts_program);
  sample.writes_ = store_->usage().transactions_;
  sample.throttled_ = store_->usage().throttled_transactions_;
  if (with_services) {
    sample.services_ = program_service_loads();
  }
  if (peers_ && peers_->list_known() && peers_->listed_peers() > 0) {
    auto heard = static_cast<double>(peers_->views().recent_peers());
    sample.visible_share_ = std::min(heard / static_cast<double>(peers_->listed_peers()), 1.0);
  }
  context_->pressure_->record_sample(sample, now);
  auto own = context_->pressure_->report(now);
  auto reports = peers_ ? peers_->views().pressure_reports() : std::vector<aged_pressure_report>{};
  auto& admission = *context_->admission_;
  if (settings_.store_writes_per_s_ > 0) {
    auto daemons = static_cast<double>(context_->daemon_count_);
    admission.set_write_interval(
        static_cast<milliseconds>(daemons * ms_per_second / settings_.store_writes_per_s_));
  }
  auto changed = admission.update(own, reports, now);
  const auto& fleet = admission.pressure();
  context_->metrics_->gauge("admission_shortage", fleet.shortage_);
  context_->metrics_->gauge("admission_limited", admission.limited() ? 1 : 0);
  if (!changed) {
    return;
  }
  log_event(log_level::warning, "program_admission_changed",
            {{"limited", admission.limited()},
             {"shortage", fleet.shortage_},
             {"write_wait_ms", fleet.write_wait_ms_},
             {"throttled_share", fleet.throttled_share_},
             {"upstreams", fleet.upstreams_},
             {"own_write_wait_ms", own.write_wait_ms_},
             {"own_upstreams", own.upstreams_},
             {"worst_service", context_->pressure_->worst_service()},
             {"programs_per_s", admission.rate()},
             {"reports", static_cast<std::int64_t>(fleet.reports_)},
             {"oldest_report_ms", fleet.oldest_ms_}});
}

auto gateway_daemon::relay_through() const -> std::optional<asio::ip::tcp::endpoint> {
  // An answer that a peer got after we got none any more: the store is up, and only this daemon is turned
  // away.
  if (!peers_) {
    return std::nullopt;
  }
  auto region = regions_.region_of(settings_.data_hall_);
  const auto* peer = peers_->views().find_peer_with_store_contact_since(
      store_->unreachable_since() + peer_clock_margin, region);
  if (peer == nullptr) {
    return std::nullopt;
  }
  auto parsed = parse_address(peer->control_address_);
  return ok(parsed) ? std::optional{value(parsed)} : std::nullopt;
}

}  // namespace birchlever

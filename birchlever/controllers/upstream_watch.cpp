#include "birchlever/controllers/upstream_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/core/hashing.h"
#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto rounds_per_control_poll = 2;

auto to_json(const load_report& report) -> json {
  return {{"e", report.engine_},   {"r", report.running_},       {"q", report.queued_},
          {"c", report.capacity_}, {"ct", report.cache_tokens_}, {"cc", report.cache_capacity_},
          {"l", report.lag_ms_},   {"m", report.models_},        {"ro", report.role_}};
}

auto report_from_json(const json& body) -> load_report {
  auto report = load_report{};
  report.engine_ = body.at("e");
  report.running_ = body.at("r");
  report.queued_ = body.at("q");
  report.capacity_ = body.at("c");
  report.cache_tokens_ = body.at("ct");
  report.cache_capacity_ = body.at("cc");
  report.lag_ms_ = body.at("l");
  report.models_ = body.at("m").get<std::vector<std::string>>();
  report.role_ = body.at("ro");
  return report;
}

}  // namespace

auto apply_shared_views(daemon_context& context, const std::string& views) -> status {
  try {
    auto body = json::parse(views);
    auto now = context.clock_->now();
    for (const auto& entry : body) {
      context.upstreams_->update_load(report_from_json(entry), now);
    }
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed shared views: "} + fault.what()};
  }
  return success;
}

upstream_watch::upstream_watch(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                               std::shared_ptr<owner_gateway> gateway)
    : caf::event_based_actor{config}, context_{std::move(context)}, gateway_{std::move(gateway)} {}

auto upstream_watch::make_behavior() -> caf::behavior {
  send(this, tick_atom::value);
  return {
      [this](tick_atom) {
        poll_engines();
        auto interval = std::max<std::int64_t>(50, context_->settings_.poll_ms_ / rounds_per_control_poll);
        delayed_send(this, std::chrono::milliseconds{interval}, tick_atom::value);
      },
      [this](stop_atom) { quit(); },
  };
}

auto upstream_watch::engines_to_poll(const std::vector<std::string>& owners) const
    -> std::vector<std::string> {
  auto engines = std::vector<std::string>{};
  for (const auto& entry : *context_->fleet_->vms()) {
    if (entry.kind_ != vm_kind::engine) {
      continue;
    }
    auto poller = std::max_element(owners.begin(), owners.end(), [&](const auto& left, const auto& right) {
      return rendezvous_weight(left, entry.id_) < rendezvous_weight(right, entry.id_);
    });
    if (poller != owners.end() && *poller == context_->peer_address_) {
      engines.push_back(entry.id_);
    }
  }
  return engines;
}

auto upstream_watch::poll_engine(const std::string& engine) -> bool {
  auto entry = context_->fleet_->find_vm(engine);
  if (!entry) {
    return false;
  }
  auto response = context_->upstream_pool_->request(entry->address_, "GET", "/load", "");
  auto body = ok(response) ? json::parse(value(response).body_, nullptr, false) : json{};
  if (!body.is_object()) {
    context_->metrics_->count("load_report_failures_total");
    return false;
  }
  auto report = load_report{};
  report.engine_ = engine;
  report.running_ = body.value("running", 0.0);
  report.queued_ = body.value("queued", 0.0);
  report.capacity_ = body.value("capacity", 1.0);
  report.cache_tokens_ = body.value("cache_tokens", 0.0);
  report.cache_capacity_ = body.value("cache_capacity", 1.0);
  report.lag_ms_ = body.value("lag_ms", 0.0);
  report.models_ = body.value("models", std::vector<std::string>{});
  report.role_ = body.value("role", "both");
  context_->upstreams_->update_load(report, context_->clock_->now());
  return true;
}

auto upstream_watch::poll_engines() -> void {
  auto owners = context_->fleet_->owners();
  if (std::find(owners.begin(), owners.end(), context_->peer_address_) == owners.end()) {
    return;
  }
  auto polled = std::vector<std::string>{};
  for (const auto& engine : engines_to_poll(owners)) {
    if (poll_engine(engine)) {
      polled.push_back(engine);
    }
  }
  if (polled.empty() || owners.size() < 2) {
    return;
  }
  auto views = json::array();
  for (const auto& report : context_->upstreams_->reports_of(polled)) {
    views.push_back(to_json(report));
  }
  auto text = views.dump();
  for (const auto& owner : owners) {
    if (owner != context_->peer_address_) {
      gateway_->share_views(owner, text);
    }
  }
}

}  // namespace birchlever

#include "birchlever/controllers/control_controller.h"

#include <algorithm>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

constexpr auto control_prefix = "control/";
constexpr auto max_control_rows = 2048;
constexpr auto rebalance_after_polls = 3;

}  // namespace

control_controller::control_controller(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                                       std::vector<caf::actor> shards, std::shared_ptr<owner_gateway> gateway)
    : caf::event_based_actor{config},
      context_{std::move(context)},
      shards_{std::move(shards)},
      gateway_{std::move(gateway)},
      better_owner_since_(shards_.size(), 0) {}

auto control_controller::make_behavior() -> caf::behavior {
  send(this, tick_atom::value);
  return {
      [this](tick_atom) {
        poll_vms();
        scan_control_rows();
        delayed_send(this, std::chrono::milliseconds{next_poll_interval()}, tick_atom::value);
      },
      [this](poll_atom) { scan_control_rows(); },
      [this](hand_over_atom) { hand_over_all(); },
      [this](stop_atom) { quit(); },
  };
}

/// Returns the poll interval with 10% jitter, so that daemons started together do not poll in step.
auto control_controller::next_poll_interval() -> milliseconds {
  auto spread = std::uniform_real_distribution<double>{0.9, 1.1};
  return static_cast<milliseconds>(static_cast<double>(context_->settings_.poll_ms_) * spread(generator_));
}

auto control_controller::poll_vms() -> void {
  auto entries = context_->vm_list_->fetch();
  if (!ok(entries)) {
    context_->metrics_->count("vm_list_failures_total");
    return;
  }
  context_->fleet_->set_vms(std::move(value(entries)));
  auto configuration = context_->fleet_->configuration();
  context_->upstreams_->set_upstreams(*context_->fleet_->vms(), configuration->drained_upstreams_,
                                      configuration->drained_halls_);
}

auto control_controller::scan_control_rows() -> void {
  auto started_at = context_->clock_->now();
  auto rows = context_->store_->scan(control_prefix, "", max_control_rows);
  if (!ok(rows)) {
    context_->metrics_->count("control_look_failures_total");
    log_failure(log_level::warning, "control_scan_failed", failure(rows));
    return;
  }
  auto by_key = std::map<std::string, table_row>{};
  for (auto& row : value(rows)) {
    by_key[row.key_] = std::move(row);
  }
  auto find = [&by_key](const std::string& key) -> std::optional<table_row> {
    auto found = by_key.find(key);
    return found == by_key.end() ? std::nullopt : std::optional{found->second};
  };
  observe_configuration(find(versioned_configuration::row_key()), started_at);
  for (auto shard = 0; shard < static_cast<int>(shards_.size()); ++shard) {
    notify_shard(shard, find(lease::row_key(shard)));
  }
}

auto control_controller::observe_configuration(const std::optional<table_row>& row, milliseconds started_at)
    -> void {
  context_->configuration_->observe(row, started_at);
  if (context_->configuration_->generation() != loaded_generation_) {
    load_configuration();
  }
}

auto control_controller::load_configuration() -> void {
  auto current = context_->configuration_->current();
  loaded_generation_ = current.generation_;
  auto parsed = fleet_configuration::parse(current.text_);
  if (!ok(parsed)) {
    log_failure(log_level::error, "configuration_unreadable", failure(parsed));
    return;
  }
  auto policies = std::map<std::string, policy_settings>{};
  auto shadows = std::vector<std::string>{};
  for (const auto& [name, policy] : value(parsed).policies_) {
    policies[name] = policy.settings_;
    if (policy.state_ == policy_state::shadow) {
      shadows.push_back(name);
    }
  }
  context_->policies_->load(policies, shadows);
  context_->upstreams_->set_upstreams(*context_->fleet_->vms(), value(parsed).drained_upstreams_,
                                      value(parsed).drained_halls_);
  context_->fleet_->set_configuration(std::move(value(parsed)));
  context_->metrics_->gauge("configuration_generation", static_cast<double>(current.generation_));
  log_event(log_level::info, "configuration_in_force",
            {{"generation", current.generation_}, {"author", current.author_}});
}

auto control_controller::notify_shard(int shard, const std::optional<table_row>& row) -> void {
  auto ranking = context_->fleet_->preferred_owners(shard);
  auto position = std::find(ranking.begin(), ranking.end(), context_->daemon_id_);
  auto observed = std::make_shared<observed_message>();
  observed->row_ = row;
  observed->rank_ = position == ranking.end() ? static_cast<int>(ranking.size())
                                              : static_cast<int>(position - ranking.begin());
  observed->successor_ = better_owner(shard, ranking);
  anon_send(shards_[static_cast<std::size_t>(shard)], observed_atom::value,
            shared<observed_message>{observed});
}

/// Returns the daemon to hand an owned shard over to: first in the ranking for several polls, and able to own
/// shards. Empty if none.
auto control_controller::better_owner(int shard, const std::vector<std::string>& ranking) -> std::string {
  auto& since = better_owner_since_[static_cast<std::size_t>(shard)];
  auto owned = context_->fleet_->claim(shard).address_ == context_->peer_address_;
  if (!owned || ranking.empty() || ranking.front() == context_->daemon_id_) {
    since = 0;
    return {};
  }
  auto now = context_->clock_->now();
  if (since == 0) {
    since = now;
  }
  if (now - since < rebalance_after_polls * context_->settings_.poll_ms_) {
    return {};
  }
  since = 0;
  auto successor = context_->fleet_->find_vm(ranking.front());
  return successor && gateway_->can_own(successor->address_.text()) ? ranking.front() : std::string{};
}

auto control_controller::hand_over_all() -> void {
  for (auto shard = 0; shard < static_cast<int>(shards_.size()); ++shard) {
    auto successor = std::string{};
    for (const auto& id : context_->fleet_->preferred_owners(shard)) {
      if (id != context_->daemon_id_) {
        successor = id;
        break;
      }
    }
    anon_send(shards_[static_cast<std::size_t>(shard)], hand_over_atom::value, successor);
  }
}

}  // namespace birchlever

#include "birchlever_daemon/daemon.h"

#include <caf/all.hpp>
#include <thread>

#include "birchlever/controllers/control_controller.h"
#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/entry_controller.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/controllers/shard_controller.h"
#include "birchlever/controllers/shard_set.h"
#include "birchlever/controllers/upstream_watch.h"
#include "birchlever/controllers/upstream_worker.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/filters/caller_server.h"
#include "birchlever/operators/operator_console.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/rpc/peer_client_pool.h"
#include "birchlever/rpc/peer_server.h"
#include "birchlever/storage/http_table_store.h"
#include "birchlever/storage/vm_list.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/policy_comparison.h"
#include "birchlever/telemetry/trace.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

constexpr auto actor_threads = std::size_t{2};
constexpr auto drain_poll = std::chrono::milliseconds{20};
constexpr auto hand_over_wait_ms = milliseconds{5000};

auto set_up_tests(const daemon_settings& settings) -> void {
  if (settings.test_controls_ == 0) {
    return;
  }
  auto& switches = test_switches::instance();
  switches.enable();
  for (const auto& mechanism : split_list(settings.test_without_)) {
    switches.disable_mechanism(mechanism);
  }
}

/// Makes the shared parts. The platform's clients are made here, so that embedders can put in their own.
auto make_context(const daemon_settings& settings) -> result<std::shared_ptr<daemon_context>> {
  auto made = std::make_shared<daemon_context>();
  made->settings_ = settings;
  made->daemon_id_ = settings.vm_id_.empty() ? "vm-" + random_id().substr(0, 8) : settings.vm_id_;
  made->instance_id_ = made->daemon_id_ + "/" + random_id().substr(0, 12);
  made->peer_address_ = settings.listen_address_ + ":" + std::to_string(settings.peer_port_);
  made->clock_ = std::make_shared<steady_clock>();
  auto store = http_table_store::create(settings.store_address_, http_pool_settings{});
  if (!ok(store)) {
    return failure(store);
  }
  made->store_ = value(store);
  auto list = vm_list::create(settings.vm_list_address_, http_pool_settings{});
  if (!ok(list)) {
    return failure(list);
  }
  made->vm_list_ = value(list);
  auto configuration =
      versioned_configuration::create(made->store_, made->clock_, settings.configuration_bound_ms_);
  if (!ok(configuration)) {
    return failure(configuration);
  }
  made->configuration_ = value(configuration);
  made->fleet_ = std::make_shared<fleet_view>(static_cast<int>(settings.shard_count_));
  made->upstreams_ = std::make_shared<upstream_table>();
  made->policies_ = std::make_shared<policy_registry>();
  made->comparison_ = std::make_shared<policy_comparison>();
  made->metrics_ = std::make_shared<metrics>();
  made->traces_ = std::make_shared<trace_recorder>("birchlever-" + made->daemon_id_);
  made->upstream_pool_ = value(http_connection_pool::create(http_pool_settings{}));
  auto stream = http_pool_settings{};
  stream.response_timeout_ = settings.upstream_wait_ms_;
  made->stream_pool_ = value(http_connection_pool::create(stream));
  return made;
}

}  // namespace

struct daemon::state {
  std::shared_ptr<daemon_context> context_;
  caf::actor_system_config configuration_;
  std::unique_ptr<caf::actor_system> system_;
  std::vector<caf::actor> shards_;
  std::vector<caf::actor> helpers_;
  caf::actor control_;
  std::shared_ptr<shard_set> shard_set_;
  std::shared_ptr<owner_gateway> gateway_;
  std::shared_ptr<operator_console> console_;
  std::unique_ptr<peer_server> peer_server_;
  std::unique_ptr<caller_server> caller_server_;
  bool stopped_ = false;

  auto start() -> status;
  auto start_actors() -> void;
  auto wait_for_calls() -> bool;
  auto wait_for_hand_over() -> void;
};

daemon::daemon(std::unique_ptr<state> made) : state_{std::move(made)} {}

daemon::~daemon() {
  stop();
}

auto daemon::create(const daemon_settings& settings) -> result<std::unique_ptr<daemon>> {
  auto faults = check_settings(settings);
  if (!faults.empty()) {
    return error{error_code::invalid_setting, faults.front().name_ + " " + faults.front().reason_};
  }
  set_up_tests(settings);
  auto context = make_context(settings);
  if (!ok(context)) {
    return failure(context);
  }
  auto made = std::make_unique<state>();
  made->context_ = value(context);
  auto started = made->start();
  auto running = std::unique_ptr<daemon>{new daemon{std::move(made)}};  // Stops its actors if it goes.
  if (!ok(started)) {
    return failure(started);
  }
  return running;
}

auto daemon::state::start_actors() -> void {
  configuration_.set("scheduler.max-threads", actor_threads);
  configuration_.set("scheduler.policy", caf::atom("sharing"));  // Stealing workers poll even at rest.
  system_ = std::make_unique<caf::actor_system>(configuration_);
  auto worker = system_->spawn<upstream_worker, caf::detached>(context_);
  helpers_.push_back(worker);
  for (auto shard = 0; shard < context_->fleet_->shard_count(); ++shard) {
    shards_.push_back(system_->spawn<shard_controller>(context_, shard, worker));
  }
  shard_set_ = std::make_shared<shard_set>(*system_, shards_);
  auto peers = value(peer_client_pool::create(peer_pool_settings{}));
  gateway_ = std::make_shared<owner_gateway>(context_, peers, shard_set_);
  console_ = std::make_shared<operator_console>(context_, gateway_, shard_set_);
}

auto daemon::state::start() -> status {
  start_actors();
  control_ = system_->spawn<control_controller, caf::detached>(context_, shards_, gateway_);
  auto look_now = [control = control_] { caf::anon_send(control, poll_atom::value); };
  auto peers = peer_server::create(
      context_, shard_set_,
      [console = console_](const std::string& text) { return console->local_rows(text); }, look_now);
  if (!ok(peers)) {
    return failure(peers);
  }
  peer_server_ = std::move(value(peers));
  helpers_.push_back(system_->spawn<entry_controller, caf::detached>(gateway_));
  helpers_.push_back(system_->spawn<upstream_watch, caf::detached>(context_, gateway_));
  auto callers =
      caller_server::create(context_, gateway_, [console = console_, look_now](const std::string& text) {
        auto answer = console->operate(text);
        look_now();
        return answer;
      });
  if (!ok(callers)) {
    return failure(callers);
  }
  caller_server_ = std::move(value(callers));
  log_event(log_level::info, "daemon_started",
            {{"daemon", context_->daemon_id_},
             {"data_hall", context_->settings_.data_hall_},
             {"http_port", context_->settings_.http_port_},
             {"peer_port", context_->settings_.peer_port_}});
  return success;
}

auto daemon::state::wait_for_calls() -> bool {
  auto give_up_at = context_->clock_->now() + context_->settings_.drain_ms_;
  while (context_->calls_in_flight_ > 0 || gateway_->open_settlements() > 0) {
    if (context_->clock_->now() >= give_up_at) {
      return false;
    }
    std::this_thread::sleep_for(drain_poll);
  }
  return true;
}

auto daemon::state::wait_for_hand_over() -> void {
  auto give_up_at = context_->clock_->now() + hand_over_wait_ms;
  while (context_->clock_->now() < give_up_at) {
    auto held = shard_set_->rows("shards");
    if (held == "[]") {
      return;
    }
    std::this_thread::sleep_for(drain_poll);
  }
}

auto daemon::stop() -> bool {
  auto& self = *state_;
  if (std::exchange(self.stopped_, true)) {
    return true;
  }
  log_event(log_level::info, "daemon_stopping");
  self.context_->stopping_ = true;
  auto finished = true;
  if (self.caller_server_) {
    finished = self.wait_for_calls();
    caf::anon_send(self.control_, hand_over_atom::value);
    self.wait_for_hand_over();
    finished = self.wait_for_calls() && finished;
    self.caller_server_->stop();
  }
  if (self.peer_server_) {
    self.peer_server_->stop();
  }
  for (const auto& actors : {self.shards_, self.helpers_, std::vector{self.control_}}) {
    for (const auto& one : actors) {
      caf::anon_send(one, stop_atom::value);
    }
  }
  self.system_->await_all_actors_done();
  log_event(log_level::info, "daemon_stopped", {{"calls_cut", !finished}});
  return finished;
}

}  // namespace birchlever

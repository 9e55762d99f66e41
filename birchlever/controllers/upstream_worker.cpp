#include "birchlever/controllers/upstream_worker.h"

#include <nlohmann/json.hpp>
#include <set>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto release_retry = std::chrono::milliseconds{500};

}  // namespace

upstream_worker::upstream_worker(caf::actor_config& config, std::shared_ptr<daemon_context> context)
    : caf::event_based_actor{config}, context_{std::move(context)} {}

auto upstream_worker::make_behavior() -> caf::behavior {
  return {
      [this](probe_atom, const shared<probe_message>& query) {
        auto requester = caf::actor_cast<caf::actor>(current_sender());
        send(requester, probe_atom::value, probe(*query));
      },
      [this](release_atom, const std::string& upstream, const std::string& session) {
        if (!release(upstream, session)) {
          delayed_send(this, release_retry, release_atom::value, upstream, session);
        }
      },
      [this](sweep_atom, const shared<sweep_message>& live) { sweep(*live); },
      [this](stop_atom) { quit(); },
  };
}

auto upstream_worker::probe(const probe_message& query) -> shared<probe_message> {
  auto answer = std::make_shared<probe_message>(query);
  auto upstream = context_->fleet_->find_vm(query.upstream_);
  if (!upstream) {
    answer->outcome_ = query.service_ ? probe_outcome::unknown : probe_outcome::gone;
    return answer;
  }
  if (query.service_) {
    probe_service(upstream->address_, *answer);
  } else {
    probe_engine(upstream->address_, *answer);
  }
  return answer;
}

auto upstream_worker::probe_engine(const endpoint& target, probe_message& query) -> void {
  auto body = json{{"key", query.key_}, {"fence", query.sequence_}}.dump();
  auto answer = context_->upstream_pool_->request(target, "POST", "/v1/calls/state", body);
  if (!ok(answer)) {
    auto refused = failure(answer).code_ == error_code::upstream_refused;
    query.outcome_ = refused ? probe_outcome::gone : probe_outcome::unknown;
    return;
  }
  auto state = json::parse(value(answer).body_, nullptr, false);
  auto name = state.is_object() ? state.value("state", "") : std::string{};
  query.outcome_ = name == "running" ? probe_outcome::running : probe_outcome::gone;
}

auto upstream_worker::probe_service(const endpoint& target, probe_message& query) -> void {
  auto body = json{{"key", query.key_}}.dump();
  auto answer = context_->upstream_pool_->request(target, "POST", "/v1/executions/state", body);
  if (!ok(answer) || value(answer).status_ != 200) {
    return;
  }
  auto state = json::parse(value(answer).body_, nullptr, false);
  if (state.is_object() && state.value("state", "") == "executed") {
    query.outcome_ = probe_outcome::executed;
    query.answer_ = state.value("answer", "");
  }
}

auto upstream_worker::release(const std::string& upstream, const std::string& session) -> bool {
  auto entry = context_->fleet_->find_vm(upstream);
  if (!entry || entry->kind_ != vm_kind::engine) {
    return true;  // Its memory is gone with the engine.
  }
  auto body = json{{"session", session}}.dump();
  auto answer = context_->upstream_pool_->request(entry->address_, "POST", "/v1/sessions/release", body);
  if (!ok(answer) || value(answer).status_ >= 500) {
    return false;
  }
  context_->metrics_->count("sessions_released_total");
  return true;
}

auto upstream_worker::sweep(const sweep_message& live) -> void {
  if (!test_switches::instance().mechanism_on("memory_sweep")) {
    return;
  }
  auto known = std::set<std::string>{live.live_sessions_.begin(), live.live_sessions_.end()};
  auto vms = context_->fleet_->vms();
  for (const auto& entry : *vms) {
    if (entry.kind_ != vm_kind::engine) {
      continue;
    }
    auto answer = context_->upstream_pool_->request(entry.address_, "GET", "/v1/sessions", "");
    auto body = ok(answer) ? json::parse(value(answer).body_, nullptr, false) : json{};
    if (!body.is_object() || !body.contains("sessions")) {
      continue;
    }
    for (const auto& listed : body["sessions"]) {
      auto session = listed.get<std::string>();
      auto slash = session.find('/');
      auto ours = slash != std::string::npos && shard_of(session.substr(0, slash), session.substr(slash + 1),
                                                         context_->fleet_->shard_count()) == live.shard_;
      if (ours && known.count(session) == 0 && release(entry.id_, session)) {
        context_->metrics_->count("sessions_swept_total");
      }
    }
  }
}

}  // namespace birchlever

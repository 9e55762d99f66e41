#include "birchlever/controllers/owner_gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/shard_set.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/rpc/generated/peer.h"
#include "birchlever/rpc/peer_client_pool.h"
#include "birchlever/rpc/peer_messages.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto max_owner_wait_ms = milliseconds{800};
constexpr auto owner_retry_interval = std::chrono::milliseconds{40};
constexpr auto peer_margin_ms = milliseconds{1000};
constexpr auto text_timeout_ms = milliseconds{5000};
constexpr auto query_timeout_ms = milliseconds{3000};
constexpr auto short_timeout_ms = milliseconds{1000};
constexpr auto max_settlement_wait_ms = milliseconds{60000};
constexpr auto no_owner_retry_ms = std::int64_t{1000};

enum text_kind { create_kind, end_kind, history_kind };

/// Returns true if the owner may have changed, so that the request can be retried.
auto owner_is_changing(const error& failure) -> bool {
  return failure.code_ == error_code::not_owner || failure.code_ == error_code::owner_unreachable;
}

auto error_in(const std::string& text) -> bool {
  return text.compare(0, 9, "{\"error\":") == 0;
}

}  // namespace

owner_gateway::owner_gateway(std::shared_ptr<daemon_context> context, std::shared_ptr<peer_client_pool> peers,
                             std::shared_ptr<shard_set> shards)
    : context_{std::move(context)}, peers_{std::move(peers)}, shards_{std::move(shards)} {}

owner_gateway::~owner_gateway() = default;

auto owner_gateway::shard_for(const std::string& account, const std::string& program) const -> int {
  return shard_of(account, program, context_->fleet_->shard_count());
}

auto owner_gateway::envelope() const -> rpc::envelope {
  auto header = rpc::envelope{};
  auto keys = split_list(context_->settings_.fleet_keys_);
  header.fleet_key = keys.empty() ? "" : keys.front();
  header.sender = context_->instance_id_;
  header.generation = context_->configuration_->generation();
  return header;
}

auto owner_gateway::record_generation(std::int64_t generation) -> void {
  context_->configuration_->record_seen(generation);
}

template <class Reply, class Local, class Remote>
auto owner_gateway::call_owner(int shard, milliseconds max_wait, Local local, Remote remote) -> Reply {
  auto deadline = context_->clock_->now() + max_wait;
  auto reply =
      Reply{error{error_code::owner_unreachable, "shard " + std::to_string(shard) + " currently has no owner",
                  ran_state::not_run, no_owner_retry_ms}};
  while (true) {
    auto claim = context_->fleet_->claim(shard);
    if (claim.address_ == context_->peer_address_) {
      reply = local();
    } else if (!claim.address_.empty()) {
      reply = remote(claim.address_);
    }
    if (ok(reply) || !owner_is_changing(failure(reply)) || context_->clock_->now() >= deadline) {
      return reply;
    }
    std::this_thread::sleep_for(owner_retry_interval);
  }
}

auto owner_gateway::open(const open_request& request) -> open_reply {
  auto shard = shard_for(request.order_.account_, request.order_.program_);
  auto ticket_may_be_lost = false;
  auto reply = call_owner<open_reply>(
      shard, max_owner_wait_ms,
      [&] {
        auto local = shards_->open(shard, request);
        ticket_may_be_lost =
            ticket_may_be_lost || (!ok(local) && failure(local).ran_ == ran_state::outcome_unknown);
        return local;
      },
      [&](const std::string& address) -> open_reply {
        auto message = rpc::open_reply{};
        auto called = peers_->call(address, request.order_.deadline_ + peer_margin_ms, [&](auto& client) {
          client.open_call(message, envelope(), to_message(request));
        });
        if (!ok(called)) {
          auto fault = failure(called);
          ticket_may_be_lost = ticket_may_be_lost || fault.ran_ == ran_state::outcome_unknown;
          fault.ran_ = ran_state::not_run;  // A ticket that never arrived is never used.
          return fault;
        }
        record_generation(message.generation);
        return from_message(message);
      });
  if (!ok(reply) && ticket_may_be_lost) {
    void_later(request);
  }
  return reply;
}

/// Voids a ticket that was issued but never arrived, so that its owner does not wait for it.
auto owner_gateway::void_later(const open_request& request) -> void {
  auto unused = settle_request{};
  unused.report_.account_ = request.order_.account_;
  unused.report_.program_ = request.order_.program_;
  unused.report_.number_ = request.order_.number_;
  unused.report_.outcome_ = call_outcome::not_run;
  unused.report_.digest_ = request.order_.digest_;
  unused.report_.repeatable_ = request.order_.repeatable_;
  unused.report_.request_id_ = request.request_id_;
  settle_later(unused);
}

auto owner_gateway::settle_later(const settle_request& request) -> void {
  auto lock = std::lock_guard{mutex_};
  calls_in_flight_.erase(request.report_.sequence_);
  open_settlements_.push_back({request, context_->clock_->now() + max_settlement_wait_ms});
}

auto owner_gateway::send_accepted(const accepted_report& report) -> void {
  auto shard = shard_for(report.account_, report.program_);
  auto claim = context_->fleet_->claim(shard);
  if (claim.address_ == context_->peer_address_) {
    shards_->accepted(shard, report);
    return;
  }
  auto sent = peers_->call(claim.address_, short_timeout_ms,
                           [&](auto& client) { client.call_accepted(envelope(), to_message(report)); });
  if (!ok(sent)) {
    log_failure(log_level::debug, "accepted_report_lost", failure(sent));
  }
}

auto owner_gateway::accepted(const accepted_report& report) -> void {
  {
    auto lock = std::lock_guard{mutex_};
    calls_in_flight_[report.sequence_] = {report, report.epoch_};
  }
  send_accepted(report);
}

auto owner_gateway::settle_once(const settle_request& request, milliseconds max_wait) -> settle_reply {
  const auto& report = request.report_;
  auto shard = shard_for(report.account_, report.program_);
  return call_owner<settle_reply>(
      shard, max_wait, [&] { return shards_->settle(shard, request, max_wait); },
      [&](const std::string& address) -> settle_reply {
        auto message = rpc::settle_reply{};
        auto called = peers_->call(address, max_wait, [&](auto& client) {
          client.settle_call(message, envelope(), to_message(request));
        });
        if (!ok(called)) {
          return failure(called);
        }
        record_generation(message.generation);
        return from_message(message);
      });
}

auto owner_gateway::settle(const settle_request& request) -> settle_reply {
  auto max_wait = context_->settings_.settle_wait_ms_;
  auto reply = settle_once(request, max_wait);
  auto confirmed = ok(reply) || !owner_is_changing(failure(reply));
  auto lock = std::lock_guard{mutex_};
  calls_in_flight_.erase(request.report_.sequence_);
  if (confirmed) {
    return reply;
  }
  open_settlements_.push_back({request, context_->clock_->now() + max_settlement_wait_ms});
  context_->metrics_->count("settlements_put_off_total");
  return error{error_code::answer_not_recorded,
               "the answer is complete but no owner has confirmed its record yet", ran_state::ran,
               no_owner_retry_ms};
}

auto owner_gateway::open_settlements() const -> std::size_t {
  auto lock = std::lock_guard{mutex_};
  return open_settlements_.size();
}

auto owner_gateway::reconcile() -> void {
  auto to_announce = std::vector<accepted_report>{};
  auto to_retry = std::vector<open_settlement>{};
  {
    auto lock = std::lock_guard{mutex_};
    for (auto& [sequence, call] : calls_in_flight_) {
      auto epoch = context_->fleet_->claim(shard_for(call.report_.account_, call.report_.program_)).epoch_;
      if (epoch > call.announced_epoch_ && test_switches::instance().mechanism_on("call_adoption")) {
        call.announced_epoch_ = epoch;
        to_announce.push_back(call.report_);
      }
    }
    to_retry.swap(open_settlements_);
  }
  for (const auto& report : to_announce) {
    send_accepted(report);
  }
  auto still_open = std::vector<open_settlement>{};
  for (auto& settlement : to_retry) {
    auto reply = settle_once(settlement.request_, short_timeout_ms);
    auto open = !ok(reply) && owner_is_changing(failure(reply));
    if (open && context_->clock_->now() < settlement.expires_at_) {
      still_open.push_back(std::move(settlement));
    } else if (open) {
      log_event(log_level::error, "settlement_abandoned",
                {{"program", settlement.request_.report_.program_},
                 {"call", std::int64_t{settlement.request_.report_.number_}}});
    }
  }
  auto lock = std::lock_guard{mutex_};
  open_settlements_.insert(open_settlements_.end(), still_open.begin(), still_open.end());
}

auto owner_gateway::text_call(const program_request& request, int kind) -> result<std::string> {
  auto shard = shard_for(request.account_, request.program_);
  auto local = [&]() -> result<std::string> {
    switch (kind) {
      case create_kind:
        return shards_->create_program(shard, request);
      case end_kind:
        return shards_->end_program(shard, request, "done");
      default:
        return shards_->history(shard, request);
    }
  };
  auto remote = [&](const std::string& address) -> result<std::string> {
    auto reply = rpc::text_reply{};
    auto message = rpc::program_message{};
    message.account = request.account_;
    message.program = request.program_;
    message.budget = request.budget_;
    auto called = peers_->call(address, text_timeout_ms, [&](auto& client) {
      switch (kind) {
        case create_kind:
          client.open_program(reply, envelope(), message);
          break;
        case end_kind:
          client.end_program(reply, envelope(), message);
          break;
        default:
          client.read_history(reply, envelope(), message);
          break;
      }
    });
    if (!ok(called)) {
      return failure(called);
    }
    if (reply.__isset.failure) {
      return from_message(reply.failure);
    }
    return reply.text;
  };
  auto deadline = context_->clock_->now() + max_owner_wait_ms;
  while (true) {
    auto reply = call_owner<result<std::string>>(shard, max_owner_wait_ms, local, remote);
    auto changing =
        ok(reply) && error_in(value(reply)) && value(reply).find("\"not_owner\"") != std::string::npos;
    if (!changing || context_->clock_->now() >= deadline) {
      return reply;
    }
    std::this_thread::sleep_for(owner_retry_interval);
  }
}

auto owner_gateway::create_program(const program_request& request) -> result<std::string> {
  return text_call(request, create_kind);
}

auto owner_gateway::end_program(const program_request& request) -> result<std::string> {
  return text_call(request, end_kind);
}

auto owner_gateway::history(const program_request& request) -> result<std::string> {
  return text_call(request, history_kind);
}

auto owner_gateway::query(const std::string& address, const std::string& statement) -> result<std::string> {
  auto reply = rpc::text_reply{};
  auto called = peers_->call(address, query_timeout_ms,
                             [&](auto& client) { client.query(reply, envelope(), statement); });
  if (!ok(called)) {
    return failure(called);
  }
  if (reply.__isset.failure) {
    return from_message(reply.failure);
  }
  return reply.text;
}

auto owner_gateway::notify_generation(const std::string& address) -> void {
  auto reply = rpc::text_reply{};
  (void)peers_->call(address, short_timeout_ms,
                     [&](auto& client) { client.hear_generation(reply, envelope()); });
}

auto owner_gateway::can_own(const std::string& address) -> bool {
  auto reply = rpc::text_reply{};
  auto called = peers_->call(address, short_timeout_ms,
                             [&](auto& client) { client.hear_generation(reply, envelope()); });
  return ok(called) && reply.text == can_own_reply;
}

auto owner_gateway::share_views(const std::string& address, const std::string& views) -> void {
  auto sent =
      peers_->call(address, short_timeout_ms, [&](auto& client) { client.share_views(envelope(), views); });
  context_->metrics_->count(ok(sent) ? "views_shared_total" : "views_share_failures_total");
}

}  // namespace birchlever

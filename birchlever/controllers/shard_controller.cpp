#include "birchlever/controllers/shard_controller.h"
#include "birchlever/controllers/shard_replies.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/shard_placement.h"
#include "birchlever/controllers/shard_writer.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{50};
constexpr auto ticket_retention_periods = 4;

}  // namespace

shard_controller::shard_controller(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                                   int shard, caf::actor upstream_worker)
    : caf::event_based_actor{config},
      context_{std::move(context)},
      shard_{shard},
      upstream_worker_{std::move(upstream_worker)},
      validity_{std::make_shared<lease_validity>()} {}

auto shard_controller::make_behavior() -> caf::behavior {
  writer_ =
      spawn<shard_writer, caf::detached>(context_, shard_, validity_, caf::actor_cast<caf::actor>(this));
  delayed_send(this, tick_interval, tick_atom::value);
  return {
      [this](open_atom, const shared<open_request>& request) {
        auto promise = make_response_promise<shared<open_reply>>();
        open(request, promise);
        return promise;
      },
      [this](settle_atom, const shared<settle_request>& request) {
        auto promise = make_response_promise<shared<settle_reply>>();
        settle(request, promise);
        return promise;
      },
      [this](accepted_atom, const shared<accepted_report>& report) { accepted(*report); },
      [this](create_atom, const shared<program_request>& request) {
        auto promise = make_response_promise<std::string>();
        create_program(*request, promise);
        return promise;
      },
      [this](end_atom, const shared<program_request>& request, const std::string& reason) {
        auto promise = make_response_promise<std::string>();
        end_program(*request, reason, promise);
        return promise;
      },
      [this](history_atom, const shared<program_request>& request) {
        auto promise = make_response_promise<std::string>();
        history(*request, promise);
        return promise;
      },
      [this](rows_atom, const std::string& kind) { return rows(kind); },
      [this](recovered_atom, const shared<recovered_message>& message) { recovered(*message); },
      [this](committed_atom, const shared<committed_message>& message) { committed(*message); },
      [this](snapshot_atom, const shared<journal_snapshot>& snapshot) {
        snapshotting_ = false;
        if (ledger_) {
          ledger_->complete_snapshot(*snapshot);
        }
      },
      [this](lost_atom) { lost(); },
      [this](observed_atom, const shared<observed_message>& observed) {
        if (!observed->successor_.empty() && ledger_ && !handing_over_) {
          handing_over_ = true;
          send(writer_, hand_over_atom::value, observed->successor_);
        }
        send(writer_, observed_atom::value, observed);
      },
      [this](hand_over_atom, const std::string& successor) {
        handing_over_ = true;
        send(writer_, hand_over_atom::value, successor);
      },
      [this](probe_atom, const shared<probe_message>& answer) { probed(*answer); },
      [this](tick_atom) {
        tick();
        delayed_send(this, tick_interval, tick_atom::value);
      },
      [this](stop_atom) {
        send(writer_, stop_atom::value);
        writer_ = nullptr;  // Breaks the reference cycle between controller and writer.
        quit();
      },
  };
}

auto shard_controller::may_act() const -> bool {
  auto in_time = validity_->held_ && context_->clock_->now() < validity_->until_;
  auto checked = test_switches::instance().mechanism_on("lease_check");
  return ledger_ && !handing_over_ && (in_time || !checked);
}

auto shard_controller::not_owner() const -> error {
  return {error_code::not_owner, "this daemon does not own shard " + std::to_string(shard_),
          ran_state::not_run, owner_retry_ms};
}

auto shard_controller::open(const shared<open_request>& request, open_promise promise) -> void {
  if (!may_act()) {
    promise.deliver(make_open_reply(not_owner()));
    return;
  }
  auto known = tickets_.find(request->request_id_);
  if (known != tickets_.end()) {
    issue_ticket(request, promise, known->second.ticket_);  // Retransmission: the first reply was lost.
    return;
  }
  const auto& order = request->order_;
  auto policy = context_->fleet_->configuration()->policy_for(order.account_, order.program_);
  auto decision = ledger_->open(order, policy, context_->clock_->now());
  if (auto* ready = std::get_if<open_proceed>(&decision)) {
    proceed(request, promise, std::move(*ready));
  } else if (const auto* replayed = std::get_if<open_replay>(&decision)) {
    replay(promise, replayed->answer_, replayed->location_);
  } else if (const auto* waiting = std::get_if<open_wait>(&decision)) {
    add_waiting(request, promise, waiting->for_own_answer_);
  } else if (const auto* unresolved = std::get_if<open_resolve>(&decision)) {
    resolve(request, promise, *unresolved);
  } else {
    context_->metrics_->count("owner_refusals_total");
    promise.deliver(make_open_reply(std::get<error>(decision)));
  }
}

auto shard_controller::place(const open_request& request) -> result<dispatch_ticket> {
  const auto* owner = ledger_->find(request.order_.account_, request.order_.program_);
  auto placed = place_call(*context_, request, *owner);
  if (!ok(placed)) {
    return failure(placed);
  }
  if (request.service_.empty()) {
    explanations_[program_key(owner->account_, owner->id_)] = std::move(value(placed).choice_);
  }
  return std::move(value(placed).ticket_);
}

auto shard_controller::proceed(const shared<open_request>& request, open_promise promise, open_proceed ready)
    -> void {
  const auto& order = request->order_;
  auto placed = place(*request);
  if (!ok(placed)) {
    (void)ledger_->cancel(order.account_, order.program_, order.number_);
    promise.deliver(make_open_reply(failure(placed)));
    return;
  }
  auto ticket = std::move(value(placed));
  auto [permission, intent] = ledger_->dispatch(order, ticket.upstream_, context_->clock_->now());
  ticket.call_ = permission;
  if (intent) {
    ready.records_.push_back(*intent);
  }
  if (!ready.must_commit_) {
    issue_ticket(request, promise, ticket);
    return;
  }
  commit(std::move(ready.records_), [this, request, promise, ticket](bool durable) mutable {
    if (!durable) {
      promise.deliver(make_open_reply(not_owner()));
      return;
    }
    issue_ticket(request, promise, ticket);
  });
}

auto shard_controller::issue_ticket(const shared<open_request>& request, open_promise promise,
                                    const dispatch_ticket& ticket) -> void {
  const auto& order = request->order_;
  if (!may_act()) {
    if (ledger_) {
      auto records = ledger_->cancel(order.account_, order.program_, order.number_);
      if (!records.empty()) {
        commit(std::move(records), [](bool) {});
      }
    }
    promise.deliver(make_open_reply(not_owner()));
    return;
  }
  auto expires_at = context_->clock_->now() + ticket_retention_periods * context_->settings_.send_within_ms_;
  tickets_[request->request_id_] = {ticket, expires_at};
  promise.deliver(make_open_reply(ticket));
}

auto shard_controller::replay(open_promise promise, const std::string& answer,
                              const answer_location& location) -> void {
  auto text = read_answer(*context_, answer, location);
  if (!ok(text)) {
    promise.deliver(make_open_reply(failure(text)));
    return;
  }
  context_->metrics_->count("replays_total");
  promise.deliver(make_open_reply(replayed_answer{value(text)}));
}

auto shard_controller::accepted(const accepted_report& report) -> void {
  if (!ledger_) {
    return;
  }
  auto now = context_->clock_->now();
  auto known = ledger_->mark_accepted(report.account_, report.program_, report.number_, report.sequence_);
  if (!known && report.epoch_ < epoch_) {
    auto in_flight =
        call_settlement{report.account_, report.program_, report.number_, report.epoch_, report.sequence_};
    in_flight.max_tokens_ = report.max_tokens_;
    in_flight.digest_ = report.digest_;
    in_flight.repeatable_ = report.repeatable_;
    in_flight.upstream_ = report.upstream_;
    known = ledger_->adopt(in_flight, now);
    context_->metrics_->count("calls_adopted_total", known ? 1 : 0);
  }
  if (known) {
    retry_waiting(report.account_, report.program_);
  }
}

auto shard_controller::commit(std::vector<journal_record> records, continuation then) -> void {
  auto message = std::make_shared<append_message>();
  message->batch_ = ++last_batch_;
  message->records_ = records;
  batches_.push_back({last_batch_, std::move(records), std::move(then)});
  send(writer_, append_atom::value, shared<append_message>{message});
}

auto shard_controller::committed(const committed_message& message) -> void {
  if (!ledger_) {
    return;
  }
  journal_sequence_ = message.sequence_;
  while (!batches_.empty() && batches_.front().number_ <= message.batch_) {
    auto batch = std::move(batches_.front());
    batches_.pop_front();
    for (const auto& record : batch.records_) {
      apply(record);
    }
    batch.then_(true);
  }
  auto due = journal_sequence_ - snapshot_sequence_ >= context_->settings_.snapshot_rows_;
  if (due && !snapshotting_ && batches_.empty()) {
    snapshotting_ = true;
    snapshot_sequence_ = journal_sequence_;
    auto snapshot = std::make_shared<journal_snapshot>(ledger_->prepare_snapshot(shard_, journal_sequence_));
    send(writer_, snapshot_atom::value, shared<journal_snapshot>{snapshot});
  }
}

auto shard_controller::recovered(const recovered_message& message) -> void {
  auto settings = ledger_settings_of(context_->settings_);
  auto created = program_ledger::create(settings, message.epoch_);
  if (!ok(created)) {
    log_failure(log_level::error, "ledger_creation_failed", failure(created));
    return;
  }
  ledger_.emplace(std::move(value(created)));
  auto loaded = ledger_->recover(message.recovery_, context_->clock_->now());
  if (!ok(loaded)) {
    log_failure(log_level::error, "recovery_failed", failure(loaded));
    ledger_.reset();
    return;
  }
  epoch_ = message.epoch_;
  handing_over_ = false;
  batches_.clear();
  last_batch_ = 0;
  journal_sequence_ = 0;
  snapshot_sequence_ = 0;
  snapshotting_ = false;
  sweep_now_ = true;
  context_->metrics_->observe("takeover_ms", static_cast<double>(message.took_ms_));
}

auto shard_controller::lost() -> void {
  ledger_.reset();
  handing_over_ = false;
  tickets_.clear();
  explanations_.clear();
  for (auto& batch : std::exchange(batches_, {})) {
    batch.then_(false);
  }
  for (auto& [key, waiting] : std::exchange(waiting_, {})) {
    waiting.promise_.deliver(make_open_reply(not_owner()));
  }
  for (auto& [key, promises] : std::exchange(resolving_, {})) {
    for (auto& promise : promises) {
      promise.deliver(make_open_reply(not_owner()));
    }
  }
}

auto shard_controller::tick() -> void {
  if (!ledger_) {
    return;
  }
  auto now = context_->clock_->now();
  expire_waiting();
  for (auto next = tickets_.begin(); next != tickets_.end();) {
    next = now >= next->second.expires_at_ ? tickets_.erase(next) : std::next(next);
  }
  auto records = ledger_->expire(now);
  if (!records.empty()) {
    commit(std::move(records), [](bool) {});
  }
  ledger_->evict_ended(now);
  if (sweep_now_ || now - swept_at_ >= context_->settings_.sweep_ms_) {
    sweep_now_ = false;
    swept_at_ = now;
    auto message = std::make_shared<sweep_message>();
    message->shard_ = shard_;
    ledger_->for_each([&](const program& entry) {
      if (!entry.ended_) {
        message->live_sessions_.push_back(program_key(entry.account_, entry.id_));
      }
    });
    send(upstream_worker_, sweep_atom::value, shared<sweep_message>{message});
  }
}

}  // namespace birchlever

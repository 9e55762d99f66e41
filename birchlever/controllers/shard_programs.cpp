/// The parts of shard_controller that settle calls and manage programs.
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/shard_controller.h"
#include "birchlever/controllers/shard_placement.h"
#include "birchlever/controllers/shard_replies.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/policy_comparison.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

using nlohmann::json;

auto make_settle_reply(settle_reply reply) -> shared<settle_reply> {
  return std::make_shared<settle_reply>(std::move(reply));
}

auto failed_text(const error& refusal) -> std::string {
  return to_json_text(refusal);
}

auto phase_name(call_phase phase) -> const char* {
  constexpr const char* names[] = {"committing", "dispatched", "accepted",
                                   "answered",   "failed",     "unresolved"};
  return names[static_cast<int>(phase)];
}

}  // namespace

auto shard_controller::settle(const shared<settle_request>& request, settle_promise promise) -> void {
  if (!may_act()) {
    promise.deliver(make_settle_reply(not_owner()));
    return;
  }
  const auto& report = request->report_;
  auto decided = ledger_->settle(report, context_->clock_->now());
  if (!ok(decided)) {
    promise.deliver(make_settle_reply(failure(decided)));
    return;
  }
  record_prompt(*request);
  auto decision = std::move(value(decided));
  auto reply = settle_reply{replayed_answer{}};
  if (decision.replay_) {
    auto text = read_answer(*context_, decision.replay_->answer_, decision.replay_->location_);
    reply = ok(text) ? settle_reply{replayed_answer{value(text)}} : settle_reply{failure(text)};
  }
  if (decision.answered_ && request->last_) {
    auto ending = ledger_->end(report.account_, report.program_, "done");
    decision.records_.insert(decision.records_.end(), ending.begin(), ending.end());
  }
  const auto* owner = ledger_->find(report.account_, report.program_);
  auto ephemeral = owner != nullptr && owner->ephemeral_;
  if (ephemeral || !test_switches::instance().mechanism_on("answer_record")) {
    if (!ephemeral) {
      for (const auto& record : decision.records_) {
        apply(record);
      }
    } else if (owner->ended_) {
      release_memory(*owner);
    }
    retry_waiting(report.account_, report.program_);
    promise.deliver(make_settle_reply(reply));
    return;
  }
  commit(std::move(decision.records_), [this, request, promise, reply](bool durable) mutable {
    promise.deliver(make_settle_reply(durable ? reply : settle_reply{not_owner()}));
  });
}

auto shard_controller::apply(const journal_record& record) -> void {
  ledger_->apply(record, context_->clock_->now());
  auto settled = record.kind_ == record_kind::call_answered || record.kind_ == record_kind::call_charged ||
                 record.kind_ == record_kind::call_voided;
  const auto* owner = ledger_->find(record.account_, record.program_);
  if (record.kind_ == record_kind::program_ended && owner != nullptr) {
    release_memory(*owner);
    explanations_.erase(program_key(record.account_, record.program_));
    if (record.reason_ == "done" && owner->started_at_ > 0) {
      auto latency = static_cast<double>(owner->last_answer_at_ - owner->started_at_);
      context_->comparison_->program_ended(owner->policy_, latency);
    }
  }
  if (settled) {
    retry_waiting(record.account_, record.program_);
  }
}

auto shard_controller::record_prompt(const settle_request& request) -> void {
  const auto& report = request.report_;
  auto answered = report.outcome_ == call_outcome::answered;
  auto now = context_->clock_->now();
  context_->upstreams_->record_finished(report.upstream_, report.outcome_ == call_outcome::failed, now);
  auto* owner = ledger_->find(report.account_, report.program_);
  if (owner == nullptr || !answered || request.prompt_tokens_ == 0) {
    return;
  }
  auto moved = !owner->last_upstream_.empty() && owner->last_upstream_ != report.upstream_;
  auto reusable = std::min(owner->prompt_tokens_, request.prompt_tokens_);
  auto recomputed = std::max<std::int64_t>(0, reusable - request.cached_tokens_);
  context_->comparison_->update(owner->policy_, [&](policy_record& record) {
    ++record.calls_;
    record.prompt_tokens_ += request.prompt_tokens_;
    record.recomputed_tokens_ += recomputed;
    record.moves_ += moved ? 1 : 0;
  });
  owner->prompt_tokens_ = request.prompt_tokens_ + report.tokens_;
}

auto shard_controller::release_memory(const program& ended) -> void {
  if (!test_switches::instance().mechanism_on("memory_release")) {
    return;
  }
  auto session = program_key(ended.account_, ended.id_);
  for (const auto& upstream : ended.upstreams_) {
    send(upstream_worker_, release_atom::value, upstream, session);
  }
}

auto shard_controller::create_program(const program_request& request, text_promise promise) -> void {
  if (!may_act()) {
    promise.deliver(failed_text(not_owner()));
    return;
  }
  auto policy = context_->fleet_->configuration()->policy_for(request.account_, request.program_);
  auto created = ledger_->create_empty(request.account_, request.program_, request.budget_, policy,
                                       context_->clock_->now());
  if (!ok(created)) {
    promise.deliver(failed_text(failure(created)));
    return;
  }
  auto body = json{{"program", request.program_}, {"policy", policy}, {"shard", shard_}}.dump();
  commit(std::move(value(created)), [this, promise, body](bool durable) mutable {
    promise.deliver(durable ? body : failed_text(not_owner()));
  });
}

auto shard_controller::end_program(const program_request& request, const std::string& reason,
                                   text_promise promise) -> void {
  if (!may_act()) {
    promise.deliver(failed_text(not_owner()));
    return;
  }
  const auto* owner = ledger_->find(request.account_, request.program_);
  if (owner == nullptr) {
    promise.deliver(failed_text({error_code::unknown_program, "no program " + request.program_}));
    return;
  }
  auto records = ledger_->end(request.account_, request.program_, reason);
  auto body =
      json{{"program", request.program_}, {"ended", true}, {"spent", owner->budget_.settled()}}.dump();
  commit(std::move(records), [this, promise, body](bool durable) mutable {
    promise.deliver(durable ? body : failed_text(not_owner()));
  });
}

auto shard_controller::history(const program_request& request, text_promise promise) -> void {
  if (!may_act()) {
    promise.deliver(failed_text(not_owner()));
    return;
  }
  const auto* owner = ledger_->find(request.account_, request.program_);
  if (owner == nullptr) {
    promise.deliver(failed_text({error_code::unknown_program, "no program " + request.program_}));
    return;
  }
  auto calls = json::array();
  for (const auto& [number, call] : owner->calls_) {
    auto text = read_answer(*context_, call.answer_, call.location_);
    if (!ok(text)) {
      promise.deliver(failed_text(failure(text)));
      return;
    }
    calls.push_back({{"call", number},
                     {"parent", call.parent_},
                     {"phase", phase_name(call.phase_)},
                     {"upstream", call.upstream_},
                     {"tokens", call.tokens_},
                     {"answer", value(text)}});
  }
  auto body = json{{"program", owner->id_},
                   {"policy", owner->policy_},
                   {"budget", owner->budget_.budget()},
                   {"spent", owner->budget_.settled()},
                   {"held", owner->budget_.held()},
                   {"ended", owner->ended_},
                   {"calls", std::move(calls)}};
  promise.deliver(body.dump(-1, ' ', false, json::error_handler_t::replace));
}

auto shard_controller::rows(const std::string& kind) const -> std::string {
  auto list = json::array();
  if (!ledger_) {
    return list.dump();
  }
  if (kind == "shards") {
    list.push_back({{"shard", shard_},
                    {"daemon", context_->daemon_id_},
                    {"epoch", epoch_},
                    {"programs", static_cast<std::int64_t>(ledger_->size())},
                    {"journal_row", journal_sequence_},
                    {"waiting", static_cast<std::int64_t>(waiting_.size())}});
    return list.dump();
  }
  auto now = context_->clock_->now();
  ledger_->for_each([&](const program& entry) {
    if (kind == "programs") {
      auto explained = explanations_.find(program_key(entry.account_, entry.id_));
      list.push_back({{"program", entry.id_},
                      {"account", entry.account_},
                      {"policy", entry.policy_},
                      {"shard", shard_},
                      {"daemon", context_->daemon_id_},
                      {"calls", static_cast<std::int64_t>(entry.calls_.size())},
                      {"budget", entry.budget_.budget()},
                      {"spent", entry.budget_.settled()},
                      {"held", entry.budget_.held()},
                      {"ended", entry.ended_},
                      {"upstream", entry.last_upstream_},
                      {"idle_ms", now - entry.last_active_},
                      {"explanation",
                       explained == explanations_.end() ? "" : explain(entry.policy_, explained->second)}});
    }
    if (kind == "calls") {
      for (const auto& [number, call] : entry.calls_) {
        list.push_back({{"program", entry.id_},
                        {"account", entry.account_},
                        {"call", number},
                        {"phase", phase_name(call.phase_)},
                        {"upstream", call.upstream_},
                        {"tokens", call.tokens_},
                        {"repeatable", call.repeatable_}});
      }
    }
  });
  return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto shard_controller::probed(const probe_message& answer) -> void {
  if (!ledger_) {
    return;
  }
  if (answer.service_ && (answer.outcome_ == probe_outcome::executed)) {
    auto request = std::make_shared<settle_request>();
    auto& report = request->report_;
    const auto* owner = ledger_->find(answer.account_, answer.program_);
    if (owner != nullptr && owner->calls_.count(answer.number_) != 0) {
      const auto& call = owner->calls_.at(answer.number_);
      report = {answer.account_, answer.program_, answer.number_, 0, call.sequence_};
      report.answer_ = answer.answer_;
      report.digest_ = call.digest_;
      report.upstream_ = answer.upstream_;
      auto decided = ledger_->settle(report, context_->clock_->now());
      if (ok(decided) && !value(decided).records_.empty()) {
        commit(std::move(value(decided).records_), [](bool) {});
      }
    }
  }
  if (!answer.service_ && answer.outcome_ == probe_outcome::gone) {
    const auto* owner = ledger_->find(answer.account_, answer.program_);
    auto is_current = owner != nullptr && owner->calls_.count(answer.number_) != 0 &&
                      owner->calls_.at(answer.number_).sequence_ == answer.sequence_;
    if (is_current) {
      commit(ledger_->abandon(answer.account_, answer.program_, answer.number_), [](bool) {});
    }
  }
  auto waiting = resolving_.find(answer.key_);
  if (waiting == resolving_.end()) {
    return;
  }
  auto promises = std::move(waiting->second);
  resolving_.erase(waiting);
  for (auto& promise : promises) {
    if (answer.outcome_ == probe_outcome::executed) {
      promise.deliver(make_open_reply(replayed_answer{answer.answer_}));
      continue;
    }
    auto refusal =
        error{error_code::outcome_unknown,
              "the call may have run and its upstream does not know the outcome; it is not retried",
              ran_state::outcome_unknown};
    promise.deliver(make_open_reply(refusal));
  }
}

}  // namespace birchlever

/// The part of program_ledger that turns reports into records and applies records to the state.
#include <algorithm>

#include "birchlever/coordination/program_ledger.h"

namespace birchlever {
auto program_ledger::charge_of(const call_settlement& report) -> std::int64_t {
  if (report.epoch_ != epoch_) {
    return report.tokens_;  // Held since the takeover.
  }
  auto attempt_entry = attempts_.find(report.sequence_);
  if (attempt_entry == attempts_.end() || attempt_entry->second.settling_) {
    return 0;  // Already charged.
  }
  attempt_entry->second.settling_ = true;
  return std::min(report.tokens_, attempt_entry->second.cost_);
}

auto program_ledger::charged_record(const program& owner, const call_settlement& report,
                                    std::int64_t charge) const -> journal_record {
  auto record = journal_record{record_kind::call_charged, owner.account_, owner.id_, report.number_};
  record.tokens_ = charge;
  record.max_tokens_ = report.max_tokens_;
  record.epoch_ = report.epoch_;
  record.sequence_ = report.sequence_;
  record.digest_ = report.digest_;
  record.upstream_ = report.upstream_;
  return record;
}

auto program_ledger::adopt(const call_settlement& in_progress, milliseconds now) -> bool {
  auto* owner = find(in_progress.account_, in_progress.program_);
  if (owner == nullptr || in_progress.epoch_ >= epoch_) {
    return false;
  }
  auto known = owner->calls_.find(in_progress.number_);
  if (known == owner->calls_.end() && in_progress.number_ != owner->highest_call() + 1) {
    return false;
  }
  if (known != owner->calls_.end() && known->second.phase_ != call_phase::unresolved) {
    return false;
  }
  auto& call = owner->calls_[in_progress.number_];
  call.number_ = in_progress.number_;
  call.phase_ = call_phase::accepted;
  call.accepted_ = true;
  call.repeatable_ = in_progress.repeatable_;
  call.max_tokens_ = in_progress.max_tokens_;
  call.digest_ = in_progress.digest_;
  call.sequence_ = in_progress.sequence_;
  call.upstream_ = in_progress.upstream_;
  call.key_ = in_progress.account_ + "/" + in_progress.program_ + "/" + std::to_string(in_progress.number_);
  call.expires_at_ = now + settings_.call_limit_;
  owner->upstreams_.insert(in_progress.upstream_);
  owner->last_active_ = now;
  return true;
}

auto program_ledger::abandon(const std::string& account, const std::string& program, std::int32_t number)
    -> std::vector<journal_record> {
  auto* owner = find(account, program);
  if (owner == nullptr) {
    return {};
  }
  auto known = owner->calls_.find(number);
  auto busy = known != owner->calls_.end() && (known->second.phase_ == call_phase::dispatched ||
                                               known->second.phase_ == call_phase::accepted);
  if (!busy) {
    return {};
  }
  const auto& call = known->second;
  auto attempt_entry = attempts_.find(call.sequence_);
  if (attempt_entry != attempts_.end() && attempt_entry->second.settling_) {
    return {};
  }
  auto report = call_settlement{account, program, number, call.sequence_ >> epoch_shift, call.sequence_};
  report.max_tokens_ = call.max_tokens_;
  report.tokens_ = call.max_tokens_;
  report.digest_ = call.digest_;
  report.upstream_ = call.upstream_;
  auto charge = charge_of(report);
  return {charged_record(*owner, report, charge)};
}

auto program_ledger::void_unused_ticket(program& owner, const call_settlement& report)
    -> std::vector<journal_record> {
  auto known = owner.calls_.find(report.number_);
  if (known == owner.calls_.end() || known->second.request_id_ != report.request_id_) {
    return {};
  }
  auto& call = known->second;
  if (call.phase_ != call_phase::unresolved) {
    return cancel(report.account_, report.program_, report.number_);
  }
  auto unused = report;
  unused.max_tokens_ = call.max_tokens_;
  auto record = charged_record(owner, unused, 0);
  // A caller that was told that the outcome is unknown continues with the next call and never sends this one
  // again. Its number must stay in use, or the next call would wait for it forever.
  record.kind_ = call.reported_unknown_ ? record_kind::call_charged : record_kind::call_voided;
  return {record};
}

auto program_ledger::settle(const call_settlement& report, milliseconds now) -> result<settle_decision> {
  auto* owner = find(report.account_, report.program_);
  if (owner == nullptr && report.ephemeral_) {
    return settle_decision{};  // The owner changed; a call without a program needs no record.
  }
  if (owner == nullptr) {
    return error{error_code::unknown_program, "no program " + report.program_, ran_state::ran};
  }
  owner->last_active_ = now;
  auto known = owner->calls_.find(report.number_);
  auto decision = settle_decision{};
  if (report.outcome_ == call_outcome::not_run && report.sequence_ == 0) {
    decision.records_ = void_unused_ticket(*owner, report);
    return decision;
  }
  if (known != owner->calls_.end() && known->second.digest_ != report.digest_) {
    return error{error_code::call_mismatch, "the call was issued with another request", ran_state::ran};
  }
  if (known != owner->calls_.end() && known->second.phase_ == call_phase::answered) {
    decision.replay_ = open_replay{known->second.answer_, known->second.location_};
    decision.answered_ = true;
    auto charge = charge_of(report);
    if (charge > 0 && !owner->ephemeral_) {
      decision.records_.push_back(charged_record(*owner, report, charge));
    }
    return decision;
  }
  if (report.outcome_ == call_outcome::not_run && report.epoch_ == epoch_) {
    decision.records_ = cancel(report.account_, report.program_, report.number_);
    return decision;
  }
  if (report.outcome_ == call_outcome::not_run) {
    // An attempt of a previous owner. The call may have one of this owner by now, which goes on.
    if (known != owner->calls_.end() && known->second.phase_ == call_phase::unresolved) {
      auto record = charged_record(*owner, report, 0);
      record.kind_ = record_kind::call_voided;
      decision.records_.push_back(std::move(record));
    }
    return decision;
  }
  auto record = charged_record(*owner, report, 0);
  if (report.outcome_ == call_outcome::answered) {
    record.kind_ = record_kind::call_answered;
    record.answer_ = report.answer_;
    record.tokens_ = charge_of(report);
    decision.answered_ = true;
    auto ahead =
        owner->budget_.settled() + owner->budget_.in_flight() + owner->budget_.held() + slice_of(*owner);
    record.reserved_ = std::min(owner->budget_.budget(), ahead);
  } else {
    auto full = call_settlement{report};
    full.tokens_ = report.max_tokens_;  // A failed attempt may have spent all it could.
    record.tokens_ = charge_of(full);
  }
  if (owner->ephemeral_) {
    apply(record, now);
    return decision;
  }
  decision.records_.push_back(std::move(record));
  return decision;
}

auto program_ledger::settle_budget(program& owner, const journal_record& record) -> void {
  if (recovering_) {
    owner.budget_.recover_settled(record.tokens_);
    return;
  }
  if (record.epoch_ != epoch_) {
    owner.budget_.settle_held(record.max_tokens_, record.tokens_);
    return;
  }
  auto attempt_entry = attempts_.find(record.sequence_);
  if (attempt_entry != attempts_.end()) {
    owner.budget_.settle(attempt_entry->second.cost_, record.tokens_);
    attempts_.erase(attempt_entry);
  }
}

auto program_ledger::apply_opened(const journal_record& record, milliseconds now) -> void {
  auto& owner = programs_[key_of(record.account_, record.program_)];
  if (owner.id_.empty()) {
    owner.account_ = record.account_;
    owner.id_ = record.program_;
    owner.policy_ = record.policy_;
    owner.budget_ = budget_account{record.budget_};
  }
  owner.durable_ = true;
  owner.last_active_ = now;
  owner.budget_.record_reservation(record.reserved_);
}

auto program_ledger::apply_intended(program& owner, const journal_record& record) -> void {
  auto& call = owner.calls_[record.number_];
  call.number_ = record.number_;
  call.parent_ = record.parent_;
  call.repeatable_ = false;
  call.max_tokens_ = record.max_tokens_;
  call.digest_ = record.digest_;
  call.upstream_ = record.upstream_;
  call.key_ = record.key_;
  call.request_id_ = record.request_id_;
  owner.upstreams_.insert(record.upstream_);
  if (recovering_) {
    call.phase_ = call_phase::unresolved;
  }
}

auto program_ledger::apply_answered(program& owner, const journal_record& record, milliseconds now) -> void {
  settle_budget(owner, record);
  owner.budget_.record_reservation(record.reserved_);
  auto& call = owner.calls_[record.number_];
  if (call.phase_ == call_phase::answered) {
    return;  // The first answer stands.
  }
  call.number_ = record.number_;
  call.phase_ = call_phase::answered;
  call.tokens_ = record.tokens_;
  call.digest_ = record.digest_;
  call.upstream_ = record.upstream_;
  call.answer_ = record.answer_;
  owner.upstreams_.insert(record.upstream_);
  owner.attained_tokens_ += record.tokens_;
  owner.last_upstream_ = record.upstream_;
  owner.last_answer_at_ = now;
  if (recovering_) {
    ++owner.digests_[record.digest_];
  }
}

auto program_ledger::apply_charged(program& owner, const journal_record& record) -> void {
  settle_budget(owner, record);
  auto& call = owner.calls_[record.number_];
  call.number_ = record.number_;
  if (recovering_ && call.digest_ == 0) {
    call.digest_ = record.digest_;
  }
  auto is_current = recovering_ || call.sequence_ == record.sequence_ || call.sequence_ == 0;
  if (call.phase_ == call_phase::answered || !is_current) {
    return;
  }
  call.phase_ = call.repeatable_ ? call_phase::failed : call_phase::unresolved;
}

auto program_ledger::apply(const journal_record& record, milliseconds now) -> void {
  if (record.kind_ == record_kind::program_opened) {
    apply_opened(record, now);
    return;
  }
  auto* owner = find(record.account_, record.program_);
  if (owner == nullptr) {
    return;  // The program was removed in the meantime.
  }
  owner->last_active_ = now;
  switch (record.kind_) {
    case record_kind::program_opened:
      break;
    case record_kind::budget_reserved:
      owner->budget_.record_reservation(record.reserved_);
      break;
    case record_kind::call_intended:
      apply_intended(*owner, record);
      break;
    case record_kind::call_answered:
      apply_answered(*owner, record, now);
      break;
    case record_kind::call_charged:
      apply_charged(*owner, record);
      break;
    case record_kind::call_voided:
      settle_budget(*owner, record);
      owner->calls_.erase(record.number_);
      break;
    case record_kind::program_ended:
      owner->ended_ = true;
      owner->end_reason_ = record.reason_;
      break;
  }
}

}  // namespace birchlever

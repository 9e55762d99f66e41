#include "birchlever/coordination/program_ledger.h"

#include <algorithm>

#include "birchlever/core/test_switches.h"

namespace birchlever {
namespace {

auto refuse(error_code code, std::string detail, std::int64_t retry_after_ms = 0) -> error {
  return error{code, std::move(detail), ran_state::not_run, retry_after_ms};
}

auto call_name(const call_request& order) -> std::string {
  return "call " + std::to_string(order.number_) + " of program " + order.program_;
}

/// Returns true if the next call may start. A repeatable call that failed before an upstream confirmed it
/// must be sent again first.
auto allows_next_call(const program_call& call) -> bool {
  switch (call.phase_) {
    case call_phase::committing:
    case call_phase::dispatched:
      return false;
    case call_phase::failed:
      return call.accepted_;
    case call_phase::accepted:
    case call_phase::answered:
    case call_phase::unresolved:
      break;
  }
  return true;
}

auto in_flight(const program_call& call) -> bool {
  return call.phase_ == call_phase::committing || call.phase_ == call_phase::dispatched ||
         call.phase_ == call_phase::accepted;
}

}  // namespace

auto program_ledger::create(const ledger_settings& settings, std::int64_t epoch) -> result<program_ledger> {
  if (settings.budget_slice_ < 0 || settings.default_budget_ < 1 || settings.default_max_tokens_ < 1) {
    return error{error_code::invalid_setting, "budget settings must be positive"};
  }
  if (settings.turn_limit_ < 1 || settings.loop_limit_ < 1 || settings.call_limit_ < 1) {
    return error{error_code::invalid_setting, "turn, loop and call limits must be at least 1"};
  }
  return program_ledger{settings, epoch};
}

auto program_ledger::key_of(const std::string& account, const std::string& program) -> std::string {
  return account + '\n' + program;
}

auto program_ledger::find(const std::string& account, const std::string& id) const -> const program* {
  auto found = programs_.find(key_of(account, id));
  return found == programs_.end() ? nullptr : &found->second;
}

auto program_ledger::find(const std::string& account, const std::string& id) -> program* {
  auto found = programs_.find(key_of(account, id));
  return found == programs_.end() ? nullptr : &found->second;
}

auto program_ledger::for_each(const std::function<void(const program&)>& visit) const -> void {
  for (const auto& [key, owner] : programs_) {
    visit(owner);
  }
}

auto program_ledger::create_program(const call_request& order, const std::string& policy, milliseconds now)
    -> program& {
  auto& created = programs_[key_of(order.account_, order.program_)];
  created.account_ = order.account_;
  created.id_ = order.program_;
  created.policy_ = policy;
  created.ephemeral_ = order.ephemeral_;
  created.budget_ = budget_account{order.budget_ > 0 ? order.budget_ : settings_.default_budget_};
  created.last_active_ = now;
  created.started_at_ = now;
  return created;
}

auto program_ledger::opened_record(const program& owner, std::int64_t reserved) const -> journal_record {
  auto record = journal_record{record_kind::program_opened, owner.account_, owner.id_};
  record.budget_ = owner.budget_.budget();
  record.policy_ = owner.policy_;
  record.reserved_ = reserved;
  return record;
}

auto program_ledger::create_empty(const std::string& account, const std::string& program, std::int64_t budget,
                                  const std::string& policy, milliseconds now)
    -> result<std::vector<journal_record>> {
  auto* known = find(account, program);
  if (known != nullptr && budget > 0 && known->budget_.budget() != budget) {
    return refuse(error_code::budget_mismatch, "program " + program + " exists with another budget");
  }
  if (known != nullptr && known->durable_) {
    return std::vector<journal_record>{};
  }
  auto order = call_request{account, program};
  order.budget_ = budget;
  auto& owner = known != nullptr ? *known : create_program(order, policy, now);
  return std::vector{opened_record(owner, slice_of(owner))};
}

auto program_ledger::open(const call_request& order, const std::string& policy, milliseconds now)
    -> open_decision {
  auto* owner = find(order.account_, order.program_);
  if (owner == nullptr) {
    if (order.number_ != 1) {
      return refuse(error_code::unknown_program,
                    "no program " + order.program_ + "; a program starts with call 1");
    }
    owner = &create_program(order, policy, now);
    auto decision = start_attempt(*owner, order, now);
    if (std::holds_alternative<error>(decision)) {
      programs_.erase(key_of(order.account_, order.program_));
    }
    return decision;
  }
  owner->last_active_ = now;
  if (order.budget_ > 0 && order.budget_ != owner->budget_.budget()) {
    return refuse(error_code::budget_mismatch, "program " + order.program_ + " has another budget: " +
                                                   std::to_string(owner->budget_.budget()));
  }
  auto known = owner->calls_.find(order.number_);
  if (known != owner->calls_.end()) {
    return reopen(*owner, known->second, order, now);
  }
  return open_next(*owner, order, now);
}

auto program_ledger::reopen(program& owner, program_call& call, const call_request& order, milliseconds now)
    -> open_decision {
  if (call.digest_ != order.digest_ && call.digest_ != 0) {
    return refuse(error_code::call_mismatch, call_name(order) + " was issued with another request");
  }
  switch (call.phase_) {
    case call_phase::answered:
      return open_replay{call.answer_, call.location_};
    case call_phase::unresolved:
      if (!test_switches::instance().mechanism_on("at_most_once")) {
        return start_attempt(owner, order, now);
      }
      if (!order.request_id_.empty() && call.request_id_ == order.request_id_) {
        return start_attempt(
            owner, order,
            now);  // The requester itself lost the ticket, so the call was certainly not sent.
      }
      call.reported_unknown_ = true;
      return open_resolve{call.upstream_, call.key_};
    case call_phase::failed:
      if (owner.ended_) {
        return refuse(error_code::program_ended, "program ended: " + owner.end_reason_);
      }
      return start_attempt(owner, order, now);
    case call_phase::committing:
    case call_phase::dispatched:
    case call_phase::accepted:
      break;
  }
  return open_wait{true};
}

auto program_ledger::open_next(program& owner, const call_request& order, milliseconds now) -> open_decision {
  if (owner.ended_) {
    return refuse(error_code::program_ended, "program ended: " + owner.end_reason_);
  }
  auto highest = owner.highest_call();
  auto ordered = test_switches::instance().mechanism_on("call_order");
  if (highest == 0 && order.number_ != 1) {
    return ordered ? open_decision{open_wait{}} : start_attempt(owner, order, now);
  }
  if (order.number_ < highest) {
    return start_attempt(owner, order,
                         now);  // A later call was sent, so this one had been accepted by a previous owner.
  }
  if (ordered && order.number_ > highest + 1) {
    return open_wait{};
  }
  if (ordered && highest > 0 && !allows_next_call(owner.calls_.rbegin()->second)) {
    return open_wait{};
  }
  if (order.parent_ != 0 && owner.calls_.count(order.parent_) == 0) {
    return refuse(error_code::call_mismatch, call_name(order) + " specifies a parent that was never issued");
  }
  return start_attempt(owner, order, now);
}

auto program_ledger::check_limits(const program& owner, const call_request& order) const
    -> std::optional<error> {
  if (order.number_ > settings_.turn_limit_) {
    return refuse(error_code::program_too_long,
                  "program reached its limit of " + std::to_string(settings_.turn_limit_) + " calls");
  }
  auto seen = owner.digests_.find(order.digest_);
  if (seen != owner.digests_.end() && seen->second >= settings_.loop_limit_) {
    return refuse(error_code::program_looping,
                  "program sent the same request " + std::to_string(seen->second) + " times");
  }
  return std::nullopt;
}

auto program_ledger::slice_of(const program& owner) const -> std::int64_t {
  return std::min(settings_.budget_slice_, owner.budget_.budget() / settings_.slices_per_budget_);
}

auto program_ledger::cost_of(const program& owner, const call_request& order) const -> std::int64_t {
  if (!order.generates_) {
    return 0;
  }
  if (order.max_tokens_ > 0) {
    return order.max_tokens_;
  }
  return std::clamp<std::int64_t>(owner.budget_.remaining(), 1, settings_.default_max_tokens_);
}

auto program_ledger::start_attempt(program& owner, const call_request& order, milliseconds now)
    -> open_decision {
  auto limit_error = check_limits(owner, order);
  if (limit_error) {
    return *limit_error;
  }
  auto cost = cost_of(owner, order);
  if (!owner.budget_.commit(cost)) {
    return refuse(error_code::budget_exhausted, call_name(order) + " could spend " + std::to_string(cost) +
                                                    " tokens; " + std::to_string(owner.budget_.remaining()) +
                                                    " remain of " + std::to_string(owner.budget_.budget()));
  }
  auto limit = order.deadline_ > 0 ? std::min(order.deadline_, settings_.call_limit_) : settings_.call_limit_;
  auto& call = owner.calls_[order.number_];
  call.number_ = order.number_;
  call.parent_ = order.parent_;
  call.phase_ = call_phase::committing;
  call.repeatable_ = order.repeatable_;
  call.max_tokens_ = cost;
  call.digest_ = order.digest_;
  call.request_id_ = order.request_id_;
  call.sequence_ = (epoch_ << epoch_shift) + ++dispatches_;
  call.expires_at_ = now + limit;
  attempts_[call.sequence_] =
      attempt{key_of(order.account_, order.program_), order.number_, cost, call.expires_at_, false};
  if (owner.ephemeral_) {
    return open_proceed{};
  }
  auto proceed = open_proceed{};
  auto reservation = owner.budget_.needed_reservation(slice_of(owner));
  if (!owner.durable_) {
    proceed.records_.push_back(opened_record(owner, reservation.value_or(0)));
  } else if (reservation) {
    auto record = journal_record{record_kind::budget_reserved, owner.account_, owner.id_};
    record.reserved_ = *reservation;
    proceed.records_.push_back(std::move(record));
  }
  proceed.must_commit_ = !proceed.records_.empty() || !order.repeatable_;
  return proceed;
}

auto program_ledger::dispatch(const call_request& order, const std::string& upstream, milliseconds now)
    -> std::pair<call_ticket, std::optional<journal_record>> {
  auto& owner = programs_.at(key_of(order.account_, order.program_));
  auto& call = owner.calls_.at(order.number_);
  call.phase_ = call_phase::dispatched;
  call.upstream_ = upstream;
  call.key_ = owner.account_ + "/" + owner.id_ + "/" + std::to_string(call.number_);
  owner.upstreams_.insert(upstream);
  owner.last_active_ = now;
  ++owner.digests_[order.digest_];
  auto ticket = call_ticket{epoch_, call.sequence_, call.max_tokens_, call.key_};
  if (order.repeatable_ || owner.ephemeral_ || !test_switches::instance().mechanism_on("at_most_once")) {
    return {ticket, std::nullopt};
  }
  auto intent =
      journal_record{record_kind::call_intended, owner.account_, owner.id_, call.number_, call.parent_};
  intent.max_tokens_ = call.max_tokens_;
  intent.digest_ = call.digest_;
  intent.epoch_ = epoch_;
  intent.sequence_ = call.sequence_;
  intent.upstream_ = upstream;
  intent.key_ = call.key_;
  intent.request_id_ = call.request_id_;
  return {ticket, intent};
}

auto program_ledger::cancel(const std::string& account, const std::string& program, std::int32_t number)
    -> std::vector<journal_record> {
  auto* owner = find(account, program);
  auto known =
      owner == nullptr ? std::map<std::int32_t, program_call>::iterator{} : owner->calls_.find(number);
  if (owner == nullptr || known == owner->calls_.end()) {
    return {};
  }
  auto& call = known->second;
  auto attempt_entry = attempts_.find(call.sequence_);
  if (attempt_entry == attempts_.end() || attempt_entry->second.settling_) {
    return {};
  }
  auto intent_may_be_durable = !call.repeatable_ && owner->durable_ && call.phase_ != call_phase::committing;
  if (intent_may_be_durable) {
    attempt_entry->second.settling_ =
        true;  // The intent may be durable; the record that voids it settles the attempt.
    auto record = journal_record{record_kind::call_voided, account, program, number};
    record.epoch_ = epoch_;
    record.sequence_ = call.sequence_;
    record.max_tokens_ = call.max_tokens_;
    return {record};
  }
  owner->budget_.cancel(attempt_entry->second.cost_);
  attempts_.erase(attempt_entry);
  owner->calls_.erase(known);
  if (owner->calls_.empty() && !owner->durable_) {
    programs_.erase(key_of(account, program));
  }
  return {};
}

auto program_ledger::mark_accepted(const std::string& account, const std::string& program,
                                   std::int32_t number, std::int64_t sequence) -> bool {
  auto* owner = find(account, program);
  if (owner == nullptr) {
    return false;
  }
  auto known = owner->calls_.find(number);
  if (known == owner->calls_.end() || known->second.sequence_ != sequence ||
      known->second.phase_ != call_phase::dispatched) {
    return false;
  }
  known->second.phase_ = call_phase::accepted;
  known->second.accepted_ = true;
  return true;
}

auto program_ledger::end(const std::string& account, const std::string& program, const std::string& reason)
    -> std::vector<journal_record> {
  auto* owner = find(account, program);
  if (owner == nullptr || owner->ended_) {
    return {};
  }
  auto record = journal_record{record_kind::program_ended, account, program};
  record.reason_ = reason;
  if (owner->ephemeral_ || !owner->durable_) {
    apply(record, owner->last_active_);
    return {};
  }
  return {record};
}

auto program_ledger::expire(milliseconds now) -> std::vector<journal_record> {
  auto records = std::vector<journal_record>{};
  for (auto& [sequence, attempt_entry] : attempts_) {
    if (attempt_entry.settling_ || now < attempt_entry.expires_at_ + settings_.report_margin_) {
      continue;
    }
    auto& owner = programs_.at(attempt_entry.program_key_);
    auto report = call_settlement{owner.account_, owner.id_, attempt_entry.number_, epoch_, sequence};
    auto known = owner.calls_.find(attempt_entry.number_);
    report.digest_ = known == owner.calls_.end() ? 0 : known->second.digest_;
    report.max_tokens_ = attempt_entry.cost_;
    attempt_entry.settling_ = true;
    records.push_back(charged_record(owner, report, attempt_entry.cost_));
  }
  for (auto& [key, candidate] : programs_) {
    auto idle = now - candidate.last_active_ >= settings_.idle_limit_;
    auto busy = std::any_of(candidate.calls_.begin(), candidate.calls_.end(),
                            [](const auto& entry) { return in_flight(entry.second); });
    if (!candidate.ended_ && idle && !busy) {
      auto record = journal_record{record_kind::program_ended, candidate.account_, candidate.id_};
      record.reason_ = "idle";
      records.push_back(std::move(record));
    }
  }
  return records;
}

auto program_ledger::evict_ended(milliseconds now) -> void {
  for (auto next = programs_.begin(); next != programs_.end();) {
    auto& candidate = next->second;
    auto retention = candidate.ephemeral_ ? 0 : settings_.ended_retention_;
    if (!candidate.ended_ || now - candidate.last_active_ < retention) {
      ++next;
      continue;
    }
    for (const auto& [number, call] : candidate.calls_) {
      attempts_.erase(call.sequence_);
      if (!call.location_.segment_.empty()) {
        --segments_[call.location_.segment_];
      }
    }
    next = programs_.erase(next);
  }
}

}  // namespace birchlever

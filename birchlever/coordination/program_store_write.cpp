/// The part of program_store that turns pending changes into transactions.
#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/coordination/conflict_backoff.h"
#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_batch = std::size_t{16};  // Maximum number of changes per transaction.
constexpr auto max_rows = std::size_t{
    40};  // No change is added to this many rows; the store allows 100, a change may write several.
constexpr auto min_retry_delay = milliseconds{40};  // Between attempts while the store does not respond.
constexpr auto max_retry_delay = milliseconds{400};

auto piece_name(int piece) -> std::string {
  auto number = std::array<char, 16>{};
  std::snprintf(number.data(), number.size(), "%03d", piece);
  return number.data();
}

}  // namespace

auto program_store::complete_change(const change_pointer& pending, status outcome) -> void {
  pending->done_ = true;
  pending->outcome_ = std::move(outcome);
  pending->finished_.notify();
}

auto program_store::expire_changes(entry& program, const error& reason) -> void {
  auto now = clock_.now();
  auto overdue = [&](const change_pointer& pending) {
    if (pending->times_out_at_ > now) {
      return false;
    }
    if (!pending->starts_turn()) {
      log_event(log_level::error, "program_change_abandoned",
                {{"program", program.name_}, {"request", pending->turn_}, {"detail", reason.detail_}});
    }
    complete_change(pending, unavailable_error(reason.detail_));
    return true;
  };
  program.queue_.erase(std::remove_if(program.queue_.begin(), program.queue_.end(), overdue),
                       program.queue_.end());
}

auto program_store::wait_out_outage(entry_pointer program, error reason) -> task<> {
  while (rows_->expected_outage_left() > 0 && !program->queue_.empty()) {
    co_await rows_->wait_until_reachable(max_retry_delay);
    expire_changes(*program, reason);
  }
}

auto program_store::write_changes(entry_pointer program) -> task<> {
  auto self = shared_from_this();
  auto delay = min_retry_delay;
  while (!program->queue_.empty()) {
    auto written = co_await write_batch(program);
    if (ok(written)) {
      delay = min_retry_delay;
      start_inquiry(program);
      continue;
    }
    expire_changes(*program, failure(written));
    if (rows_->expected_outage_left() > 0) {
      co_await wait_out_outage(program, failure(written));
      delay = min_retry_delay;  // After an outage changes are sent at once; the store limits their rate.
      continue;
    }
    co_await pause_for(*loop_, delay);
    co_await rows_->wait_until_reachable(max_retry_delay);
    delay = std::min(2 * delay, max_retry_delay);
  }
  program->writing_ = false;
  evict();
}

auto program_store::record_store_clock(milliseconds store_now, milliseconds requested_at) -> void {
  auto now = clock_.now();
  // The store read its clock before the response arrived, so the offset is never too large.
  store_clock_offset_ = store_now - now;
  store_clock_error_ = now - requested_at;
  store_clock_known_ = true;
}

auto program_store::check_budget(const entry& program, const change& pending,
                                 const program_record& record) const -> std::optional<change_result> {
  // Tokens drawn ahead may exceed a budget by an allowance, which must not add to the overdraft.
  auto overdrawn = pending.kind_ == change::kind::reserve ? overdraft(program, record) : 0;
  if (!pending.budget_ || record.committed() - overdrawn + pending.tokens_ <= *pending.budget_) {
    return std::nullopt;
  }
  auto spent = record.spent_ + lost_tokens(program, record) - overdrawn;
  auto spent_alone = spent + pending.tokens_ > *pending.budget_;
  if (settings_.spent_memory_ && pending.kind_ == change::kind::reserve) {
    // Turns seldom use their whole reservation, so only spent tokens prove that the budget is exhausted.
    return spent_alone ? change_result::over_budget : change_result::budget_leased;
  }
  // A single turn started by another daemon may be one that was refused because its reservation timed out:
  // the caller's retry can arrive before that reservation is released. Several started turns are running in
  // parallel.
  auto started = record.started_turns();
  auto may_be_abandoned = started.size() == 1 && program.started_.count(started.front()) == 0;
  auto is_held = has_open_leases(program, record) || may_be_abandoned;
  return is_held && !spent_alone ? change_result::budget_leased : change_result::over_budget;
}

auto program_store::apply_reserve(const entry& program, const change& pending, program_record& record) const
    -> change_result {
  if (record.reserved_.count(pending.reservation_) != 0) {
    return change_result::done_before;
  }
  if (auto refused = check_budget(program, pending, record)) {
    return *refused;
  }
  auto ends_by = store_clock_known_ ? pending.turn_ends_by_ + store_clock_offset_ : milliseconds{0};
  record.reserved_[pending.reservation_] = {pending.tokens_, 0, {}, ends_by};
  return change_result::applied;
}

auto program_store::apply_settle(const entry& program, const change& pending, program_record& record)
    -> change_result {
  auto reserved = record.reserved_.find(pending.reservation_);
  auto is_held = reserved != record.reserved_.end();
  if (!is_held && pending.sent_) {
    // Either an earlier transaction without a response was committed, or the expired reservation was removed.
    if (!pending.record_ || program.turns_.count(pending.turn_key_) != 0) {
      return change_result::done_before;
    }
    if (!pending.turn_checked_) {
      return change_result::unclear;
    }
  }
  record.spent_ += pending.tokens_;
  if (is_held) {
    record.reserved_.erase(reserved);
  }
  return change_result::applied;
}

auto program_store::apply(const entry& program, const change& pending, program_record& record) const
    -> change_result {
  switch (pending.kind_) {
    case change::kind::reserve:
      return apply_reserve(program, pending, record);
    case change::kind::draw:
      return apply_draw(program, pending, record);
    case change::kind::settle:
      return apply_settle(program, pending, record);
    case change::kind::release:
      // Written even if there is nothing to release: the new version prevents a late commit of a reservation
      // whose response was lost.
      record.reserved_.erase(pending.reservation_);
      return change_result::applied;
  }
  return change_result::done_before;
}

auto program_store::lease_next_turn(const change& settled, batch_plan& planned) const -> void {
  auto& record = planned.record_;
  // Leaves budget for one turn through another daemon, so that a lease rarely makes that turn wait.
  auto fits = settled.budget_ && record.committed() + 2 * settled.max_tokens_ <= *settled.budget_;
  // Nobody may be left to tell whether a lease was used, and a budget may be exceeded by one turn only.
  if (!leasing_ || !settled.record_ || !fits || !store_clock_known_ || record.has_leased()) {
    return;
  }
  auto witness = std::optional<std::string>{std::string{}};
  if (settings_.witnessed_leases_) {
    witness = budget_peers_ ? budget_peers_->choose_witness() : std::nullopt;
  }
  if (!witness) {
    return;
  }
  auto usable_until = clock_.now() + settings_.reservation_lease_;
  auto expires_at = usable_until + store_clock_offset_ + longest_next_turn(settled);
  auto next = leased_reservation{lease_name(settled.turn_key_, settings_.daemon_), settled.max_tokens_,
                                 usable_until - store_clock_error_, expires_at, *witness};
  record.reserved_[next.name_] = {next.tokens_, expires_at, next.witness_};
  planned.leased_.push_back(std::move(next));
}

auto program_store::add_turn_rows(const entry& program, const change& pending,
                                  row_transaction& transaction) const -> void {
  auto bytes = encode(*pending.record_);
  const auto& turn = pending.turn_key_;
  auto piece = 0;
  for (auto at = std::size_t{0}; at < bytes.size(); at += settings_.row_bytes_) {
    auto key = turns_prefix(program.name_) + turn + "/" + piece_name(piece++);
    transaction.puts_.push_back(
        {{settings_.table_, program.part_, std::move(key)}, bytes.substr(at, settings_.row_bytes_)});
  }
  transaction.puts_.push_back({{settings_.index_table_, program.part_, turn}, program.name_});
}

auto program_store::plan(entry& program, bool is_current) -> batch_plan {
  auto planned = batch_plan{};
  planned.record_ = program.record_;
  drop_unused_leases(program, planned.record_);
  record_used_leases(program, planned.record_);
  auto now = clock_.now();
  auto has_draw = false;
  for (const auto& pending : program.queue_) {
    // The record stores only the last draw of a daemon, so a transaction contains at most one draw.
    auto second_draw = pending->kind_ == change::kind::draw && std::exchange(has_draw, true);
    auto batch_full = planned.changes_.size() >= max_batch || planned.transaction_.puts_.size() >= max_rows;
    if (second_draw || batch_full) {
      break;
    }
    auto expired = pending->starts_turn() && pending->times_out_at_ <= now && pending->expired_;
    auto change_outcome = expired ? change_result::expired : apply(program, *pending, planned.record_);
    // Spent tokens only increase, so a refusal based on them alone does not need the newest record.
    auto definitive = is_current ||
                      (program.record_at_ && now - *program.record_at_ <= settings_.budget_max_age_) ||
                      planned.record_.spent_ + pending->tokens_ > pending->budget_.value_or(0);
    if ((change_outcome == change_result::over_budget || change_outcome == change_result::budget_leased) &&
        !definitive) {
      planned.needs_reload_ = true;
      return planned;
    }
    if (change_outcome == change_result::unclear) {
      planned.needs_turns_ = true;
      return planned;
    }
    planned.changes_.emplace_back(pending, change_outcome);
    if (change_outcome == change_result::done_before && pending->kind_ == change::kind::settle) {
      adopt_lease(program, *pending, planned);
    }
    if (change_outcome != change_result::applied) {
      continue;
    }
    planned.writes_ = true;
    planned.transaction_.priority_ = std::min(planned.transaction_.priority_, pending->rank());
    if (pending->record_) {
      add_turn_rows(program, *pending, planned.transaction_);
    }
    if (pending->kind_ == change::kind::settle) {
      lease_next_turn(*pending, planned);
    }
  }
  planned.record_.updated_at_ = store_now();
  auto key = row_key{settings_.table_, program.part_, budget_key(program.name_)};
  planned.transaction_.conditions_.push_back({key, program.version_});
  if (program.version_ == version_absent) {
    planned.transaction_.puts_.push_back(
        {{settings_.index_table_, program.part_, index_key(program.name_)}, program.name_});
  }
  planned.transaction_.puts_.push_back({key, encode(planned.record_)});
  return planned;
}

auto program_store::log_exhausted(const entry& program, const change& pending) const -> void {
  const auto& record = program.record_;
  log_event(log_level::info, "budget_exhausted",
            {{"request", pending.turn_},
             {"program", program.name_},
             {"budget", pending.budget_.value_or(0)},
             {"tokens", pending.tokens_},
             {"spent", record.spent_},
             {"reserved", record.committed() - record.spent_},
             {"lost", lost_tokens(program, record)},
             {"record_age_ms", program.record_at_ ? clock_.now() - *program.record_at_ : milliseconds{-1}}});
}

auto program_store::log_overdraft(const entry& program, const change& pending, const program_record& record)
    -> void {
  if (!pending.budget_ || record.committed() <= *pending.budget_) {
    return;
  }
  ++statistics_.overdrafts_;
  log_event(log_level::info, "budget_overdrawn",
            {{"request", pending.turn_},
             {"program", program.name_},
             {"budget", *pending.budget_},
             {"tokens", pending.tokens_},
             {"committed", record.committed()},
             {"unaccounted", overdraft(program, record)}});
}

auto program_store::complete_batch(entry& program, const batch_plan& planned) -> void {
  program.leased_.insert(program.leased_.end(), planned.leased_.begin(), planned.leased_.end());
  for (const auto& [pending, change_outcome] : planned.changes_) {
    if (pending->record_) {
      cache_turn(program, pending->turn_key_, pending->record_);
    }
    if (pending->kind_ == change::kind::draw) {
      complete_draw(program, *pending, change_outcome, planned.record_);
    }
    remember_if_spent(program, *pending, planned.record_);
    if (pending->kind_ == change::kind::reserve && change_outcome == change_result::applied) {
      log_overdraft(program, *pending, planned.record_);
    }
    if (!pending->starts_turn()) {
      leases_.end_use(pending->reservation_);
    }
    if (change_outcome == change_result::over_budget) {
      log_exhausted(program, *pending);
      complete_change(pending, error{error_code::budget_exhausted,
                                     "remaining budget of the program is below the token limit of the turn"});
    } else if (change_outcome == change_result::budget_leased) {
      pending->budget_leased_ = true;
      complete_change(
          pending,
          unavailable_error("rest of the program's budget is reserved for a turn through another daemon"));
    } else if (change_outcome == change_result::expired) {
      complete_change(pending, unavailable_error("turn timed out before its budget was reserved"));
    } else {
      complete_change(pending, success);
    }
    auto queue_entry = std::find(program.queue_.begin(), program.queue_.end(), pending);
    if (queue_entry != program.queue_.end()) {
      program.queue_.erase(queue_entry);
    }
  }
  if (planned.writes_) {
    program.changed_.notify();
  }
}

auto program_store::back_off_after_conflict(std::string name, int conflicts, milliseconds latency)
    -> task<bool> {
  auto max_delay = max_conflict_backoff(conflicts, latency);
  if (max_delay > 0) {
    auto delay = std::uniform_int_distribution<milliseconds>{max_delay / 2, max_delay}(random_);
    log_event(log_level::info, "program_contended",
              {{"program", name},
               {"conflicts", std::int64_t{conflicts}},
               {"took_ms", latency},
               {"pause_ms", delay}});
    co_await pause_for(*loop_, delay);
  }
  co_return max_delay > 0;
}

auto program_store::restore_sent(const batch_plan& planned, const std::vector<bool>& sent_before) -> void {
  for (auto index = std::size_t{0}; index < planned.changes_.size(); ++index) {
    planned.changes_.at(index).first->sent_ = sent_before.at(index);
  }
}

auto program_store::write_batch(entry_pointer program) -> task<status> {
  auto is_current = false;
  auto conflicts = 0;
  while (true) {
    if (program->version_ == version_not_read) {
      auto loaded = co_await load(program, false, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      is_current = true;
    }
    auto planned = plan(*program, is_current);
    if (planned.needs_turns_) {
      auto loaded = co_await load(program, true, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      for (const auto& pending : program->queue_) {
        pending->turn_checked_ = true;
      }
      is_current = true;
      continue;
    }
    if (planned.needs_reload_) {
      program->version_ = version_not_read;  // A refusal must be based on the current record.
      continue;
    }
    if (!planned.writes_) {
      complete_batch(*program, planned);
      co_return success;
    }
    auto sent_before = std::vector<bool>{};
    for (const auto& [pending, change_outcome] : planned.changes_) {
      sent_before.push_back(pending->sent_);
      pending->sent_ = true;
      pending->turn_checked_ = false;  // An earlier check does not cover this transaction.
    }
    auto requested_at = clock_.now();
    auto committed = co_await rows_->commit(planned.transaction_, settings_.call_limit_);
    if (!ok(committed)) {
      if (failure(committed).code_ == error_code::store_unavailable) {
        restore_sent(planned, sent_before);
      }
      for (const auto& [pending, change_outcome] : planned.changes_) {
        pending->unknown_ = pending->unknown_ || failure(committed).code_ != error_code::store_unavailable;
      }
      co_return failure(committed);
    }
    const auto& outcome = value(committed);
    record_store_clock(outcome.store_time_, requested_at);
    program->record_at_ = requested_at;
    if (outcome.committed_) {
      program->record_ = planned.record_;
      program->version_ = outcome.version_;
      complete_batch(*program, planned);
      co_return success;
    }
    program->version_ = version_absent;
    program->record_ = program_record{};
    auto taken = apply_rows(*program, outcome.conflicts_);
    if (!ok(taken)) {
      program->version_ = version_not_read;
      co_return failure(taken);
    }
    is_current = true;
    auto backed_off =
        co_await back_off_after_conflict(program->name_, ++conflicts, clock_.now() - requested_at);
    if (backed_off) {
      program->version_ =
          version_not_read;  // The rows of the conflict are stale by now; a read uses no write capacity.
    }
  }
}

}  // namespace birchlever

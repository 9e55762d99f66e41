/// The part of program_store that writes planned transactions and repeats them until they are answered.
#include <algorithm>

#include "birchlever/coordination/conflict_backoff.h"
#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto min_retry_delay = milliseconds{40};  // Between attempts while the store does not respond.
constexpr auto max_retry_delay = milliseconds{400};

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
  program.reset();
  evict();
}

auto program_store::record_store_clock(milliseconds store_now, milliseconds requested_at) -> void {
  auto now = clock_.now();
  // The store read its clock before the response arrived, so the offset is never too large.
  store_clock_offset_ = store_now - now;
  store_clock_error_ = now - requested_at;
  store_clock_known_ = true;
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
  program.separate_changes_ -= std::min(program.separate_changes_, planned.changes_.size());
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

auto program_store::stage_turn(entry_pointer program, change_pointer pending) -> task<status> {
  auto rows = turn_rows(*program, *pending);
  auto transactions = std::int64_t{0};
  auto limits = rows_->limits();
  while (rows.size() - pending->staged_rows_ > 1) {
    auto transaction = row_transaction{};
    transaction.priority_ = pending->rank();
    auto bytes = max_encoded_size(transaction);
    for (auto next = rows.size() - 1 - pending->staged_rows_; next > 0; --next) {
      bytes += max_encoded_size(rows[next]);
      auto full = bytes > limits.bytes_ || transaction.puts_.size() >= limits.entries_;
      if (full && !transaction.puts_.empty()) {
        break;
      }
      transaction.puts_.push_back(rows[next]);
    }
    auto stored = transaction.puts_.size();
    auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
    if (!ok(committed)) {
      co_return failure(committed);
    }
    pending->staged_rows_ += stored;
    ++transactions;
  }
  pending->staged_ = true;
  log_event(log_level::info, "turn_staged",
            {{"request", pending->turn_},
             {"program", program->name_},
             {"rows", static_cast<std::int64_t>(rows.size())},
             {"transactions", transactions}});
  co_return success;
}

auto program_store::separate_rejected(entry& program, const std::vector<change_pointer>& rejected,
                                      const error& reason) -> void {
  if (rejected.size() > 1) {
    program.separate_changes_ = rejected.size();
    log_event(log_level::warning, "program_changes_separated",
              {{"program", program.name_},
               {"changes", static_cast<std::int64_t>(rejected.size())},
               {"detail", reason.detail_}});
    return;
  }
  const auto& failed = rejected.front();
  log_event(log_level::error, "program_change_rejected",
            {{"program", program.name_}, {"request", failed->turn_}, {"detail", reason.detail_}});
  program.separate_changes_ -= std::min<std::size_t>(program.separate_changes_, 1);
  auto place = std::find(program.queue_.begin(), program.queue_.end(), failed);
  if (failed->record_ && place != program.queue_.end()) {
    // The turn is not kept, but its tokens were handed out.
    auto settlement = std::make_shared<change>(*loop_);
    settlement->kind_ = failed->kind_;
    settlement->turn_ = failed->turn_;
    settlement->turn_key_ = failed->turn_key_;
    settlement->reservation_ = failed->reservation_;
    settlement->tokens_ = failed->tokens_;
    settlement->max_tokens_ = failed->max_tokens_;
    settlement->budget_ = failed->budget_;
    settlement->times_out_at_ = failed->times_out_at_;
    *place = std::move(settlement);
  } else if (place != program.queue_.end()) {
    program.queue_.erase(place);
  }
  complete_change(failed, reason);
}

auto program_store::write_batch(entry_pointer program) -> task<status> {
  auto is_current = false;
  auto conflicts = 0;
  while (true) {
    // Without the store's clock a reservation would have no deadline, and would stay if this daemon is lost.
    if (program->version_ == version_not_read || !store_clock_known_) {
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
    if (planned.needs_staging_) {
      auto staged = co_await stage_turn(program, planned.needs_staging_);
      if (!ok(staged) && failure(staged).code_ == error_code::store_rejected) {
        separate_rejected(*program, {planned.needs_staging_}, failure(staged));
        co_return success;
      }
      if (!ok(staged)) {
        co_return failure(staged);
      }
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
      auto rejected = failure(committed).code_ == error_code::store_rejected;
      auto not_applied = rejected || failure(committed).code_ == error_code::store_unavailable;
      if (not_applied) {
        restore_sent(planned, sent_before);
      }
      auto changes = std::vector<change_pointer>{};
      for (const auto& [pending, change_outcome] : planned.changes_) {
        pending->unknown_ = pending->unknown_ || !not_applied;
        changes.push_back(pending);
      }
      if (rejected) {  // The same transaction would be rejected again.
        separate_rejected(*program, changes, failure(committed));
        co_return success;
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

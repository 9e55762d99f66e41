#include "birchlever/coordination/program_store.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/core/hashing.h"
#include "birchlever/storage/store_breaker.h"

namespace birchlever {
namespace {

constexpr auto start_after_wait =
    milliseconds{500};  // Time to read a history and reserve a budget after an outage.
constexpr auto outage_check_interval =
    milliseconds{100};  // Between estimates of the outage's remaining time while a turn is held.
constexpr auto read_retry_interval = milliseconds{50};  // Delay between failed reads of a history.

constexpr auto min_backlog_retry = milliseconds{500};  // An earlier retry would meet the same backlog.

/// Ranks the start of a turn. Turns of started programs precede those of new ones.
auto rank_of(const turn_request& order) -> write_priority {
  if (order.overdue_) {
    return write_priority::overdue_program;
  }
  return order.previous_.empty() ? write_priority::starts_program : write_priority::continues_program;
}

auto part_of(const std::string& program, int parts) -> std::string {
  return part_name(static_cast<int>(hash_of(program) % static_cast<std::uint64_t>(parts)));
}

}  // namespace

auto program_store::unavailable_error(const std::string& detail) const -> error {
  return error{error_code::store_unavailable, detail, ran_state::not_run, settings_.retry_after_};
}

auto program_store::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                           const program_store_settings& settings) -> result<std::shared_ptr<program_store>> {
  if (settings.row_bytes_ == 0 || settings.daemon_.empty() || settings.table_.empty() ||
      settings.parts_ < 1) {
    return error{
        error_code::invalid_setting,
        "program store requires a daemon name, a table, at least 1 partition and a row size above 0"};
  }
  return std::shared_ptr<program_store>{new program_store{loop, std::move(rows), settings}};
}

program_store::program_store(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             const program_store_settings& settings)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{settings},
      random_{static_cast<std::uint32_t>(hash_of(settings_.daemon_))} {}

auto program_store::entry_of(const scoped_name& program) -> entry_pointer {
  return entry_named(key_name(program));
}

auto program_store::entry_named(const std::string& name) -> entry_pointer {
  auto& known = entries_[name];
  if (!known) {
    known = std::make_shared<entry>(*loop_);
    known->name_ = name;
    known->part_ = part_of(name, settings_.parts_);
    cached_bytes_ += entry_overhead;
  }
  known->last_used_ = clock_.now();
  return known;
}

auto program_store::evict() -> void {
  while (cached_bytes_ > settings_.cache_bytes_) {
    auto oldest = entries_.end();
    for (auto next = entries_.begin(); next != entries_.end(); ++next) {
      auto idle = next->second.use_count() == 1 && next->second->queue_.empty();
      if (idle && (oldest == entries_.end() || next->second->last_used_ < oldest->second->last_used_)) {
        oldest = next;
      }
    }
    if (oldest == entries_.end()) {
      return;  // All remaining entries are in use.
    }
    cached_bytes_ -= entry_overhead;
    for (const auto& [turn, record] : oldest->second->turns_) {
      cached_bytes_ -= bytes_of(*record);
      auto indexed = turn_programs_.find(turn);
      if (indexed != turn_programs_.end() && indexed->second == oldest->first) {
        turn_programs_.erase(indexed);
      }
    }
    entries_.erase(oldest);
  }
}

auto program_store::begin_turn(turn_request order, milliseconds time_left) -> task<result<turn_grant>> {
  auto self = shared_from_this();
  auto max_wait = order.max_wait_.value_or(settings_.max_start_wait_);
  auto caller_due = clock_.now() + time_left;
  time_left = std::min(time_left, std::max(settings_.start_timeout_, max_wait + start_after_wait));
  auto due = clock_.now() + time_left;
  auto wait_until = clock_.now() + std::min(max_wait, time_left);
  auto spent = co_await refuse_if_spent(order, wait_until - clock_.now());
  if (spent) {
    co_return std::move(*spent);
  }
  auto outage = rows_->expected_outage_left();
  if (outage > std::min(max_wait, time_left)) {
    co_return outage_error(outage, caller_due);
  }
  auto program = entry_of(order.program_);
  auto backlog = rows_->expected_write_wait(rank_of(order));
  auto overloaded = backlog > std::min(max_wait, time_left) && program->leased_.empty();
  if (overloaded) {  // Refused before the history is read.
    co_return error{error_code::store_unavailable, "write backlog of the store exceeds the turn's wait limit",
                    ran_state::not_run, std::max(backlog, min_backlog_retry)};
  }
  auto past = co_await collect_with_retry(order.program_, order.previous_, wait_until, due, caller_due);
  auto reserved = ok(past) ? result<std::string>{std::string{}} : result<std::string>{failure(past)};
  if (ok(past)) {
    auto limits = turn_limits{wait_until, due, caller_due};
    reserved = co_await acquire_reservation(program, order, limits);
    release_retired(program);
  }
  if (!ok(reserved)) {
    program.reset();
    evict();
    co_return failure(reserved);
  }
  auto grant = turn_grant{};
  grant.reservation_ = std::move(value(reserved));
  program->started_[grant.reservation_] = clock_.now();
  const auto& turns = value(past).turns_;
  for (auto turn = turns.rbegin(); turn != turns.rend(); ++turn) {
    grant.prompt_ += (*turn)->input_;
    grant.prompt_ += (*turn)->output_;
  }
  if (!turns.empty()) {
    history_bytes_.record(grant.prompt_.size(), clock_.now());
  }
  grant.prompt_ += order.input_;
  if (!turns.empty()) {
    grant.last_upstream_ = turns.front()->upstream_;
    if (value(past).newest_program_ != program->name_) {
      grant.inherited_history_ = grant.prompt_.substr(0, grant.prompt_.size() - order.input_.size());
    }
  }
  program.reset();
  evict();
  co_return grant;
}

auto program_store::outage_error(milliseconds expected_left, milliseconds caller_due) -> error {
  auto jitter = std::uniform_real_distribution<double>{0, 1}(random_);
  auto refused =
      unavailable_error("store is unreachable, expected for " + std::to_string(expected_left) + " ms more");
  refused.retry_after_ms_ = retry_after_outage(expected_left, caller_due - clock_.now(), jitter);
  return refused;
}

auto program_store::wait_for_store(milliseconds wait_until, milliseconds caller_due) -> task<status> {
  while (true) {
    auto now = clock_.now();
    auto outage = rows_->expected_outage_left();
    if (outage > 0 && outage > wait_until - now) {
      co_return outage_error(outage, caller_due);
    }
    auto wait = outage > 0 ? std::min(wait_until - now, outage_check_interval) : wait_until - now;
    auto reachable = co_await rows_->wait_until_reachable(wait);
    if (reachable) {
      co_return success;
    }
    if (clock_.now() >= wait_until) {
      co_return unavailable_error("store is unreachable");
    }
  }
}

auto program_store::collect_with_retry(scoped_name program, std::string newest, milliseconds wait_until,
                                       milliseconds due, milliseconds caller_due) -> task<result<chain>> {
  while (true) {
    auto reached = co_await wait_for_store(wait_until, caller_due);
    if (!ok(reached)) {
      co_return failure(reached);
    }
    auto past = co_await collect(program, newest, due - clock_.now());
    auto unavailable = !ok(past) && failure(past).code_ == error_code::store_unavailable;
    if (!unavailable || clock_.now() >= wait_until) {
      co_return past;
    }
    co_await pause_for(*loop_, read_retry_interval);
  }
}

auto program_store::wait_for_reserve(change_pointer pending, milliseconds time_left, milliseconds caller_due)
    -> task<status> {
  auto due = clock_.now() + time_left;
  while (!pending->done_ && clock_.now() < due) {
    auto outage = rows_->expected_outage_left();
    if (outage > 0 && outage > pending->times_out_at_ - clock_.now()) {
      co_return outage_error(outage, caller_due);
    }
    co_await pending->finished_.wait_for(std::min(due - clock_.now(), outage_check_interval));
  }
  auto reserved = co_await wait_for(pending, 0);
  auto outage = rows_->expected_outage_left();
  if (outage > 0 && !ok(reserved) && failure(reserved).code_ == error_code::store_unavailable) {
    co_return outage_error(outage, caller_due);
  }
  co_return reserved;
}

auto program_store::reserve(entry_pointer program, const turn_request& order, const turn_limits& limits,
                            milliseconds max_wait) -> task<reserve_outcome> {
  auto time_left = limits.due_ - clock_.now();
  auto pending = std::make_shared<change>(*loop_);
  pending->turn_ = order.turn_;
  pending->reservation_ = order.turn_;
  pending->tokens_ = order.max_tokens_;
  pending->budget_ = order.budget_;
  pending->start_rank_ = rank_of(order);
  pending->times_out_at_ = clock_.now() + std::min(time_left, max_wait);
  pending->turn_ends_by_ = limits.caller_due_ + settings_.settle_grace_;
  if (order.previous_.empty() && program->version_ == version_not_read) {
    program->version_ =
        version_absent;  // First turn: assume a new program; an existing one causes a conflict.
  }
  queue(program, pending);
  auto reserved = co_await wait_for_reserve(pending, time_left, limits.caller_due_);
  if (!ok(reserved)) {
    pending->expired_ = true;
    pending->times_out_at_ = clock_.now();
    // A conflict proves that the transaction was not and will not be committed.
    auto surely_refused = settings_.spent_memory_ && pending->budget_leased_ && !pending->unknown_;
    auto may_be_reserved =
        pending->sent_ && !surely_refused && failure(reserved).code_ != error_code::budget_exhausted;
    if (may_be_reserved) {
      cancel_turn(order.program_, order.turn_);
    }
  }
  co_return reserve_outcome{std::move(reserved), pending->budget_leased_};
}

auto program_store::end_turn(turn_completion ended, milliseconds time_left) -> task<status> {
  auto self = shared_from_this();
  auto program = entry_of(ended.program_);
  auto started = program->started_.find(ended.reservation_);
  if (started != program->started_.end()) {
    record_turn_duration(clock_.now() - started->second);
    program->started_.erase(started);
  }
  auto pending = std::make_shared<change>(*loop_);
  pending->kind_ = change::kind::settle;
  pending->turn_ = ended.turn_;
  pending->turn_key_ = key_name(scoped_name{ended.program_.account_, ended.turn_});
  pending->reservation_ = ended.reservation_;
  pending->tokens_ = ended.tokens_;
  pending->max_tokens_ = ended.max_tokens_;
  pending->max_next_duration_ = ended.max_next_duration_;
  pending->budget_ = ended.budget_;
  pending->times_out_at_ = clock_.now() + std::max(time_left, settings_.cleanup_timeout_);
  if (ended.record_) {
    pending->record_ = std::make_shared<const turn_record>(std::move(*ended.record_));
  }
  queue(program, pending);
  co_return co_await wait_for(pending, time_left);
}

auto program_store::cancel_turn(const scoped_name& program, const std::string& reservation) -> void {
  entry_of(program)->started_.erase(reservation);
  release(entry_of(program), reservation);
}

auto program_store::queue(const entry_pointer& program, change_pointer pending) -> void {
  program->queue_.push_back(std::move(pending));
  if (!program->writing_) {
    program->writing_ = true;
    start(*loop_, "write_changes", write_changes(program));
  }
}

auto program_store::wait_for(change_pointer pending, milliseconds time_left) -> task<status> {
  auto due = clock_.now() + time_left;
  while (!pending->done_ && clock_.now() < due) {
    co_await pending->finished_.wait_for(due - clock_.now());
  }
  if (!pending->done_) {
    co_return unavailable_error("store did not respond in time");
  }
  co_return pending->outcome_;
}

}  // namespace birchlever

/// The half of program_store that turns wanted changes into transactions.
#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/coordination/conflict_pause.h"
#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto most_batch = std::size_t{16};       // Changes in one transaction, which may hold 100 rows.
constexpr auto most_rows = std::size_t{40};        // Rows at which a batch takes no further change.
constexpr auto first_pause_ms = milliseconds{40};  // Between tries while the store gives no answer.
constexpr auto longest_pause_ms = milliseconds{400};

auto piece_name(int piece) -> std::string {
  auto number = std::array<char, 16>{};
  std::snprintf(number.data(), number.size(), "%03d", piece);
  return number.data();
}

}  // namespace

auto program_store::finish(const change_pointer& wanted, status outcome) -> void {
  wanted->done_ = true;
  wanted->outcome_ = std::move(outcome);
  wanted->finished_.notify();
}

auto program_store::drop_overdue(entry& program, const error& reason) -> void {
  auto now = clock_.now();
  auto overdue = [&](const change_pointer& wanted) {
    if (wanted->give_up_at_ > now) {
      return false;
    }
    if (!wanted->begins_turn()) {
      log_event(log_level::error, "program_change_given_up",
                {{"program", program.name_}, {"request", wanted->turn_}, {"detail", reason.detail_}});
    }
    finish(wanted, store_away(reason.detail_));
    return true;
  };
  program.queue_.erase(std::remove_if(program.queue_.begin(), program.queue_.end(), overdue),
                       program.queue_.end());
}

auto program_store::write_changes(entry_pointer program) -> task<> {
  auto self = shared_from_this();
  auto pause = first_pause_ms;
  while (!program->queue_.empty()) {
    auto written = co_await write_batch(program);
    if (ok(written)) {
      pause = first_pause_ms;
      continue;
    }
    drop_overdue(*program, failure(written));
    co_await pause_for(*loop_, pause);
    co_await rows_->wait_until_reachable(longest_pause_ms);
    pause = std::min(2 * pause, longest_pause_ms);
  }
  program->writing_ = false;
  shrink();
}

auto program_store::note_store_clock(milliseconds store_now, milliseconds asked_at) -> void {
  auto now = clock_.now();
  // The store read its clock before the answer came, so the difference is never too large.
  store_clock_ahead_ = store_now - now;
  store_clock_error_ = now - asked_at;
  store_clock_known_ = true;
}

auto program_store::refusal_of(const entry& program, const change& wanted, const program_record& record) const
    -> std::optional<verdict> {
  if (!wanted.budget_ || record.committed() + wanted.tokens_ <= *wanted.budget_) {
    return std::nullopt;
  }
  auto spent_alone = record.spent_ + wanted.tokens_ > *wanted.budget_;
  // A single turn that another daemon let begin may be one that was refused since its reservation was not
  // answered in time: the caller's next try comes before that reservation is taken back. Several are lines of
  // turns that run.
  auto begun = record.begun_turns();
  auto may_be_given_up = begun.size() == 1 && program.begun_.count(begun.front()) == 0;
  auto held = record.has_leased() || may_be_given_up;
  return held && !spent_alone ? verdict::budget_leased : verdict::over_budget;
}

auto program_store::apply_reserve(const entry& program, const change& wanted, program_record& record) const
    -> verdict {
  if (record.reserved_.count(wanted.reservation_) != 0) {
    return verdict::done_before;
  }
  if (refusal_of(program, wanted, record) && store_clock_known_) {
    record.drop_expired(store_now());
  }
  if (auto refused = refusal_of(program, wanted, record)) {
    return *refused;
  }
  record.reserved_[wanted.reservation_] = {wanted.tokens_, 0};
  return verdict::applied;
}

auto program_store::apply_settle(const entry& program, const change& wanted, program_record& record)
    -> verdict {
  auto reserved = record.reserved_.find(wanted.reservation_);
  auto held = reserved != record.reserved_.end();
  if (!held && wanted.sent_) {
    // Made by a transaction without an answer, or its lease was over and the reservation was taken back.
    if (!wanted.whole_ || program.turns_.count(wanted.turn_key_) != 0) {
      return verdict::done_before;
    }
    if (!wanted.looked_up_) {
      return verdict::unclear;
    }
  }
  record.spent_ += wanted.tokens_;
  if (held) {
    record.reserved_.erase(reserved);
  }
  return verdict::applied;
}

auto program_store::apply(const entry& program, const change& wanted, program_record& record) const
    -> verdict {
  switch (wanted.kind_) {
    case change::kind::reserve:
      return apply_reserve(program, wanted, record);
    case change::kind::draw:
      return apply_draw(program, wanted, record);
    case change::kind::settle:
      return apply_settle(program, wanted, record);
    case change::kind::release:
      // Written also when there is nothing to release: the new version keeps a reservation whose answer was
      // lost from being made later.
      record.reserved_.erase(wanted.reservation_);
      return verdict::applied;
  }
  return verdict::done_before;
}

auto program_store::lease_next(entry& program, const change& settled, batch_plan& planned) const -> void {
  auto held = program.leased_.size() + planned.leased_.size();
  auto& record = planned.record_;
  // Room for one turn through another daemon stays, so that a lease seldom makes that one wait.
  auto fits = settled.budget_ && record.committed() + 2 * settled.most_tokens_ <= *settled.budget_;
  if (!settled.whole_ || !fits || !store_clock_known_ || held >= settings_.most_leased_) {
    return;
  }
  auto usable_until = clock_.now() + settings_.reservation_lease_;
  auto next = leased_reservation{settled.turn_key_ + lease_sign + settings_.daemon_, settled.most_tokens_,
                                 usable_until - store_clock_error_};
  auto longest_turn = std::max(settings_.longest_turn_, settled.longest_turn_);
  auto expires_at = usable_until + store_clock_ahead_ + longest_turn;
  record.reserved_[next.name_] = {next.tokens_, expires_at};
  planned.leased_.push_back(std::move(next));
}

auto program_store::add_turn_rows(const entry& program, const change& wanted,
                                  row_transaction& transaction) const -> void {
  auto bytes = encode(*wanted.whole_);
  const auto& turn = wanted.turn_key_;
  auto piece = 0;
  for (auto at = std::size_t{0}; at < bytes.size(); at += settings_.row_bytes_) {
    auto key = turns_prefix(program.name_) + turn + "/" + piece_name(piece++);
    transaction.puts_.push_back(
        {{settings_.table_, program.part_, std::move(key)}, bytes.substr(at, settings_.row_bytes_)});
  }
  transaction.puts_.push_back({{settings_.index_table_, program.part_, turn}, program.name_});
}

auto program_store::plan(entry& program, bool fresh) -> batch_plan {
  auto planned = batch_plan{};
  planned.record_ = program.record_;
  auto now = clock_.now();
  auto has_draw = false;
  for (const auto& wanted : program.queue_) {
    // A daemon's record names its last draw only, so that a transaction holds one at most.
    auto second_draw = wanted->kind_ == change::kind::draw && std::exchange(has_draw, true);
    auto full = planned.changes_.size() >= most_batch || planned.transaction_.puts_.size() >= most_rows;
    if (second_draw || full) {
      break;
    }
    auto expired = wanted->begins_turn() && wanted->give_up_at_ <= now && wanted->expired_;
    auto what = expired ? verdict::expired : apply(program, *wanted, planned.record_);
    // What is spent only grows, so a refusal that rests on it alone needs no look at the newest record.
    auto sure = fresh || (program.record_at_ && now - *program.record_at_ <= settings_.budget_view_) ||
                planned.record_.spent_ + wanted->tokens_ > wanted->budget_.value_or(0);
    if ((what == verdict::over_budget || what == verdict::budget_leased) && !sure) {
      planned.needs_fresh_ = true;
      return planned;
    }
    if (what == verdict::unclear) {
      planned.needs_turns_ = true;
      return planned;
    }
    planned.changes_.emplace_back(wanted, what);
    if (what != verdict::applied) {
      continue;
    }
    planned.writes_ = true;
    planned.transaction_.priority_ = std::min(planned.transaction_.priority_, wanted->rank());
    if (wanted->whole_) {
      add_turn_rows(program, *wanted, planned.transaction_);
    }
    if (wanted->kind_ == change::kind::settle) {
      lease_next(program, *wanted, planned);
    }
  }
  planned.record_.touched_at_ = store_now();
  auto key = row_key{settings_.table_, program.part_, budget_key(program.name_)};
  planned.transaction_.conditions_.push_back({key, program.version_});
  if (program.version_ == version_absent) {
    planned.transaction_.puts_.push_back(
        {{settings_.index_table_, program.part_, index_key(program.name_)}, program.name_});
  }
  planned.transaction_.puts_.push_back({key, encode(planned.record_)});
  return planned;
}

auto program_store::conclude(entry& program, const batch_plan& planned) -> void {
  program.leased_.insert(program.leased_.end(), planned.leased_.begin(), planned.leased_.end());
  for (const auto& [wanted, what] : planned.changes_) {
    if (wanted->whole_) {
      remember(program, wanted->turn_key_, wanted->whole_);
    }
    if (wanted->kind_ == change::kind::draw) {
      conclude_draw(program, *wanted, what, planned.record_);
    }
    if (what == verdict::over_budget) {
      finish(wanted, error{error_code::budget_exhausted, "the program's budget does not hold this turn"});
    } else if (what == verdict::budget_leased) {
      finish(wanted, store_away("the rest of the budget is held for a turn through another daemon"));
    } else if (what == verdict::expired) {
      finish(wanted, store_away("the turn was given up before its budget was reserved"));
    } else {
      finish(wanted, success);
    }
    auto place = std::find(program.queue_.begin(), program.queue_.end(), wanted);
    if (place != program.queue_.end()) {
      program.queue_.erase(place);
    }
  }
}

auto program_store::pause_after_conflict(std::string name, int conflicts, milliseconds took) -> task<bool> {
  auto longest = longest_conflict_pause(conflicts, took);
  if (longest > 0) {
    auto pause = std::uniform_int_distribution<milliseconds>{longest / 2, longest}(random_);
    log_event(
        log_level::info, "program_contended",
        {{"program", name}, {"conflicts", std::int64_t{conflicts}}, {"took_ms", took}, {"pause_ms", pause}});
    co_await pause_for(*loop_, pause);
  }
  co_return longest > 0;
}

auto program_store::write_batch(entry_pointer program) -> task<status> {
  auto fresh = false;
  auto conflicts = 0;
  while (true) {
    if (program->version_ == version_not_read) {
      auto loaded = co_await load(program, false, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      fresh = true;
    }
    auto planned = plan(*program, fresh);
    if (planned.needs_turns_) {
      auto loaded = co_await load(program, true, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      for (const auto& wanted : program->queue_) {
        wanted->looked_up_ = true;
      }
      fresh = true;
      continue;
    }
    if (planned.needs_fresh_) {
      program->version_ = version_not_read;  // A refusal must rest on what the store says now.
      continue;
    }
    if (!planned.writes_) {
      conclude(*program, planned);
      co_return success;
    }
    for (const auto& [wanted, what] : planned.changes_) {
      wanted->sent_ = true;
      wanted->looked_up_ = false;  // What was looked up before does not tell of this transaction.
    }
    auto asked_at = clock_.now();
    auto committed = co_await rows_->commit(planned.transaction_, settings_.call_limit_);
    if (!ok(committed)) {
      co_return failure(committed);
    }
    const auto& outcome = value(committed);
    note_store_clock(outcome.store_time_, asked_at);
    program->record_at_ = asked_at;
    if (outcome.committed_) {
      program->record_ = planned.record_;
      program->version_ = outcome.version_;
      conclude(*program, planned);
      co_return success;
    }
    program->version_ = version_absent;
    program->record_ = program_record{};
    auto taken = take_rows(*program, outcome.conflicts_);
    if (!ok(taken)) {
      program->version_ = version_not_read;
      co_return failure(taken);
    }
    fresh = true;
    auto paused = co_await pause_after_conflict(program->name_, ++conflicts, clock_.now() - asked_at);
    if (paused) {
      program->version_ =
          version_not_read;  // What the conflict told is old by now; a read costs the part nothing.
    }
  }
}

}  // namespace birchlever

/// The half of program_store that turns wanted changes into transactions.
#include <algorithm>
#include <array>
#include <cstdio>

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
    if (wanted->kind_ != change::kind::reserve) {
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

auto program_store::apply(const change& wanted, program_record& record) -> verdict {
  auto reserved = record.reserved_.find(wanted.turn_);
  switch (wanted.kind_) {
    case change::kind::reserve:
      if (reserved != record.reserved_.end()) {
        return verdict::done_before;
      }
      if (wanted.budget_ && record.committed() + wanted.tokens_ > *wanted.budget_) {
        return verdict::over_budget;
      }
      record.reserved_[wanted.turn_] = wanted.tokens_;
      return verdict::applied;
    case change::kind::settle:
      if (reserved == record.reserved_.end()) {
        return verdict::done_before;
      }
      record.spent_ += wanted.tokens_;
      record.reserved_.erase(reserved);
      return verdict::applied;
    case change::kind::release:
      // Written also when there is nothing to release: the new version keeps a reservation whose answer was
      // lost from being made later.
      record.reserved_.erase(wanted.turn_);
      return verdict::applied;
  }
  return verdict::done_before;
}

auto program_store::add_turn_rows(const entry& program, const change& wanted,
                                  row_transaction& transaction) const -> void {
  auto bytes = encode(*wanted.whole_);
  auto turn = key_name(wanted.turn_);
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
  for (const auto& wanted : program.queue_) {
    if (planned.changes_.size() >= most_batch || planned.transaction_.puts_.size() >= most_rows) {
      break;
    }
    auto expired = wanted->kind_ == change::kind::reserve && wanted->give_up_at_ <= now && wanted->expired_;
    auto what = expired ? verdict::expired : apply(*wanted, planned.record_);
    if (what == verdict::over_budget && !fresh) {
      planned.needs_fresh_ = true;
      return planned;
    }
    planned.changes_.emplace_back(wanted, what);
    if (what != verdict::applied) {
      continue;
    }
    planned.writes_ = true;
    if (wanted->whole_) {
      add_turn_rows(program, *wanted, planned.transaction_);
    }
  }
  planned.record_.touched_at_ = now + store_clock_ahead_;
  auto key = row_key{settings_.table_, program.part_, budget_key(program.name_)};
  planned.transaction_.conditions_.push_back({key, program.version_});
  planned.transaction_.puts_.push_back({key, encode(planned.record_)});
  return planned;
}

auto program_store::conclude(entry& program, const batch_plan& planned) -> void {
  for (const auto& [wanted, what] : planned.changes_) {
    if (wanted->whole_) {
      remember(program, key_name(wanted->turn_), wanted->whole_);
    }
    if (what == verdict::over_budget) {
      finish(wanted, error{error_code::budget_exhausted, "the program's budget does not hold this turn"});
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

auto program_store::write_batch(entry_pointer program) -> task<status> {
  auto fresh = false;
  while (true) {
    if (program->version_ == version_not_read) {
      auto loaded = co_await load(program, false, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      fresh = true;
    }
    auto planned = plan(*program, fresh);
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
    }
    auto committed = co_await rows_->commit(planned.transaction_, settings_.call_limit_);
    if (!ok(committed)) {
      co_return failure(committed);
    }
    const auto& outcome = value(committed);
    store_clock_ahead_ = outcome.store_now_ - clock_.now();
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
  }
}

}  // namespace birchlever

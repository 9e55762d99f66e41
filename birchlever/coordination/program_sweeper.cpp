#include "birchlever/coordination/program_sweeper.h"

#include <algorithm>

#include "birchlever/coordination/program_keys.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto no_limit = milliseconds{3'600'000};  // Each page has its own timeout.

}  // namespace

program_sweeper::program_sweeper(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                                 program_sweeper_settings settings, owns_function owns,
                                 retention_function retention)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{std::move(settings)},
      owns_{std::move(owns)},
      retention_{std::move(retention)} {}

auto program_sweeper::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             const program_sweeper_settings& settings, owns_function owns,
                             retention_function retention) -> result<std::shared_ptr<program_sweeper>> {
  if (settings.parts_ < 1 || settings.rows_per_removal_ < 1 || settings.pass_interval_ < 1) {
    return error{
        error_code::invalid_setting,
        "program sweeper requires at least 1 partition, 1 row per removal and a pass interval of 1 ms"};
  }
  auto created = std::shared_ptr<program_sweeper>{
      new program_sweeper{loop, std::move(rows), settings, std::move(owns), std::move(retention)}};
  start(loop, "sweep_programs", created->sweep());
  return created;
}

auto program_sweeper::sweep() -> task<> {
  auto self = shared_from_this();
  co_await pause_for(*loop_, settings_.initial_delay_);
  while (!stopped_) {
    for (auto number = 0; number < settings_.parts_ && !stopped_; ++number) {
      auto part = part_name(number);
      if (!owns_(part)) {
        observed_.erase(part);
        continue;
      }
      auto swept = co_await sweep_part(part);
      if (!ok(swept)) {
        log_failure(log_level::info, "sweep_deferred", failure(swept));  // The next pass retries.
      }
      co_await pause_for(*loop_, settings_.partition_interval_);
    }
    co_await pause_for(*loop_, settings_.pass_interval_);
  }
}

auto program_sweeper::list_part(std::string part) -> task<result<index>> {
  auto range = row_range{settings_.index_table_, part, "", ""};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, no_limit);
  if (!ok(page)) {
    co_return failure(page);
  }
  auto listed = index{};
  for (auto& row : value(page).rows_) {
    auto& program = listed[row.value_];
    program.version_ = std::max(program.version_, row.version_);
    program.rows_.push_back(std::move(row.key_));
  }
  co_return listed;
}

auto program_sweeper::find_expired(observed_changes& observed, const index& listed,
                                   milliseconds retention) const -> std::vector<std::string> {
  auto now = clock_.now();
  auto expired = std::vector<std::string>{};
  for (auto next = observed.begin(); next != observed.end();) {
    next = listed.count(next->first) == 0 ? observed.erase(next) : std::next(next);
  }
  for (const auto& [name, program] : listed) {
    auto& known = observed[name];
    if (program.version_ > known.version_) {
      known = {program.version_, now};
    } else if (now - known.since_ >= retention) {
      expired.push_back(name);
    }
  }
  return expired;
}

auto program_sweeper::sweep_part(std::string part) -> task<status> {
  auto retention = retention_();
  if (retention <= 0) {
    co_return success;
  }
  auto listed = co_await list_part(part);
  if (!ok(listed)) {
    co_return failure(listed);
  }
  auto names = find_expired(observed_[part], value(listed), retention);
  for (const auto& name : names) {
    auto removed = co_await remove(part, name, value(listed)[name].rows_);
    if (!ok(removed) && failure(removed).code_ == error_code::store_rejected) {
      log_event(log_level::error, "program_removal_rejected",
                {{"program", name}, {"part", part}, {"detail", failure(removed).detail_}});
      continue;  // The next pass would be rejected, too; other programs are not held up.
    }
    if (!ok(removed)) {
      co_return removed;
    }
  }
  co_return success;
}

auto program_sweeper::remove(std::string part, std::string program, std::vector<row_key> index_rows)
    -> task<status> {
  auto range = row_range{settings_.table_, part, budget_key(program), end_of_turns(program)};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, no_limit);
  if (!ok(page)) {
    co_return failure(page);
  }
  auto budget = version_condition{{settings_.table_, part, budget_key(program)}, 0};
  auto keys = std::move(index_rows);
  for (auto& row : value(page).rows_) {
    if (row.key_.key_ == budget.key_.key_) {
      budget.version_ = row.version_;
    } else {
      keys.push_back(std::move(row.key_));
    }
  }
  auto& known = observed_[part][program];
  if (budget.version_ > known.version_) {
    known = {budget.version_, clock_.now()};  // It changed without a completed turn.
    co_return success;
  }
  // The budget row is removed last: while it exists, its version shows whether the program was resumed.
  keys.push_back(budget.key_);
  for (auto at = std::size_t{0}; at < keys.size(); at += settings_.rows_per_removal_) {
    auto until = std::min(keys.size(), at + settings_.rows_per_removal_);
    auto transaction = row_transaction{
        {budget},
        {},
        {keys.begin() + static_cast<std::ptrdiff_t>(at), keys.begin() + static_cast<std::ptrdiff_t>(until)}};
    auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
    if (!ok(committed)) {
      co_return failure(committed);
    }
    if (!value(committed).committed_) {
      known = {};  // It changed concurrently; the next pass observes it again.
      co_return success;
    }
  }
  ++removed_;
  observed_[part].erase(program);
  log_event(log_level::info, "program_removed",
            {{"program", program}, {"part", part}, {"rows", static_cast<std::int64_t>(keys.size())}});
  co_return success;
}

}  // namespace birchlever

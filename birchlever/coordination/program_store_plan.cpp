/// The part of program_store that turns pending changes into transactions.
///
/// A turn that exceeds the store's limits for one transaction is stored in several: all pieces but the first
/// one are staged, and the first one is put together with the turn's settlement. Readers ignore a turn
/// without its first piece, so nobody sees a part of a turn.
#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_batch = std::size_t{16};       // Maximum number of changes per transaction.
constexpr auto entries_besides = std::size_t{4};  // The condition, the budget row and two index rows.

auto piece_name(std::size_t piece) -> std::string {
  auto number = std::array<char, 16>{};
  std::snprintf(number.data(), number.size(), "%03zu", piece);
  return number.data();
}

}  // namespace

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

auto program_store::drop_other_leases(entry& program, const change& settled, program_record& record) -> void {
  auto now = clock_.now();
  std::erase_if(program.leased_, [&](const leased_reservation& lease) {
    auto dropped = lease.tokens_ != settled.max_tokens_ &&
                   leases_.retire(lease.name_, now + keep_for(lease.expires_at_), now);
    if (dropped) {
      record.reserved_.erase(lease.name_);
      log_event(log_level::info, "lease_dropped",
                {{"request", settled.turn_},
                 {"program", program.name_},
                 {"reservation", lease.name_},
                 {"tokens", lease.tokens_},
                 {"max_tokens", settled.max_tokens_}});
    }
    return dropped;
  });
}

auto program_store::lease_next_turn(entry& program, const change& settled, batch_plan& planned) -> void {
  auto& record = planned.record_;
  if (store_clock_known_) {
    drop_other_leases(program, settled, record);
  }
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

auto program_store::turn_rows(const entry& program, const change& pending) const -> std::vector<stored_row> {
  auto bytes = encode(*pending.record_);
  auto rows = std::vector<stored_row>{};
  for (auto at = std::size_t{0}; at < bytes.size(); at += settings_.row_bytes_) {
    auto key = turns_prefix(program.name_) + pending.turn_key_ + "/" + piece_name(rows.size());
    rows.push_back(
        {{settings_.table_, program.part_, std::move(key)}, bytes.substr(at, settings_.row_bytes_)});
  }
  return rows;
}

auto program_store::fits(const batch_plan& planned, const std::vector<stored_row>& rows) const -> bool {
  auto limits = rows_->limits();
  auto bytes = planned.turn_bytes_ + 2 * max_encoded_size(settings_.row_bytes_);  // For the budget row.
  for (const auto& row : rows) {
    bytes += max_encoded_size(row);
  }
  // Each turn has an index row.
  auto entries = planned.transaction_.puts_.size() + rows.size() + 1 + entries_besides;
  return bytes <= limits.bytes_ && entries <= limits.entries_;
}

auto program_store::add_turn_rows(const entry& program, const change& pending, std::vector<stored_row> rows,
                                  batch_plan& planned) const -> void {
  auto& puts = planned.transaction_.puts_;
  for (auto& row : rows) {
    planned.turn_bytes_ += max_encoded_size(row);
    puts.push_back(std::move(row));
  }
  puts.push_back({{settings_.index_table_, program.part_, pending.turn_key_}, program.name_});
  planned.turn_bytes_ += max_encoded_size(puts.back());
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
    auto batch_full = planned.changes_.size() >= (program.separate_changes_ > 0 ? 1U : max_batch);
    if (second_draw || batch_full) {
      break;
    }
    auto rows = pending->record_ ? turn_rows(program, *pending) : std::vector<stored_row>{};
    if (pending->staged_) {
      rows.resize(1);
    }
    auto alone = planned.changes_.empty();
    auto cannot_shrink = rows.empty() || (alone && pending->staged_);
    if (!cannot_shrink && !fits(planned, rows)) {
      planned.needs_staging_ = alone ? pending : nullptr;
      break;
    }
    auto expired = pending->starts_turn() && pending->times_out_at_ <= now && pending->expired_;
    auto change_outcome = expired ? change_result::expired : apply(program, *pending, planned.record_);
    // Spent tokens only increase, so a refusal based on them alone does not need the newest record.
    auto all_spent = planned.record_.spent_ + pending->tokens_ > pending->budget_.value_or(0);
    // A turn that counts as lost may have been settled with fewer tokens since the record was read.
    auto rests_on_lost = change_outcome == change_result::over_budget && !all_spent &&
                         lost_tokens(program, planned.record_) > 0;
    auto recent = program.record_at_ && now - *program.record_at_ <= settings_.budget_max_age_;
    auto definitive = is_current || all_spent || (recent && !rests_on_lost);
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
      add_turn_rows(program, *pending, std::move(rows), planned);
    }
    if (pending->kind_ == change::kind::settle) {
      lease_next_turn(program, *pending, planned);
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

}  // namespace birchlever

#include "birchlever/coordination/program_store.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto begin_after_wait =
    milliseconds{500};  // For a history and a reservation when the store is back.
constexpr auto read_again_gap =
    milliseconds{50};  // Between two readings of a history that the store refused.

constexpr auto least_backlog_retry = milliseconds{500};  // A writer that was too late once would be so again.

/// What a program has begun is carried to its end before others begin.
auto rank_of(const turn_order& order) -> write_priority {
  if (order.late_) {
    return write_priority::overdue_program;
  }
  return order.previous_.empty() ? write_priority::starts_program : write_priority::continues_program;
}

auto part_of(const std::string& program, int parts) -> std::string {
  return part_name(static_cast<int>(hash_of(program) % static_cast<std::uint64_t>(parts)));
}

}  // namespace

auto program_store::store_away(const std::string& detail) const -> error {
  return error{error_code::store_unavailable, detail, ran_state::not_run, settings_.retry_after_};
}

auto program_store::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                           const program_store_settings& settings) -> result<std::shared_ptr<program_store>> {
  if (settings.row_bytes_ == 0 || settings.daemon_.empty() || settings.table_.empty() ||
      settings.parts_ < 1) {
    return error{error_code::invalid_setting, "programs need a table, parts, and room in its rows"};
  }
  return std::shared_ptr<program_store>{new program_store{loop, std::move(rows), settings}};
}

program_store::program_store(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             const program_store_settings& settings)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{settings},
      random_{static_cast<std::uint32_t>(hash_of(settings_.daemon_))} {}

auto program_store::entry_of(const owned_name& program) -> entry_pointer {
  return entry_named(key_name(program));
}

auto program_store::entry_named(const std::string& name) -> entry_pointer {
  auto& known = entries_[name];
  if (!known) {
    known = std::make_shared<entry>();
    known->name_ = name;
    known->part_ = part_of(name, settings_.parts_);
    cached_bytes_ += entry_overhead;
  }
  known->last_used_ = clock_.now();
  return known;
}

auto program_store::shrink() -> void {
  while (cached_bytes_ > settings_.cache_bytes_) {
    auto oldest = entries_.end();
    for (auto next = entries_.begin(); next != entries_.end(); ++next) {
      auto idle = next->second->users_ == 0 && next->second->queue_.empty() && !next->second->writing_;
      if (idle && (oldest == entries_.end() || next->second->last_used_ < oldest->second->last_used_)) {
        oldest = next;
      }
    }
    if (oldest == entries_.end()) {
      return;  // All that is left is in use.
    }
    cached_bytes_ -= entry_overhead;
    for (const auto& [turn, record] : oldest->second->turns_) {
      cached_bytes_ -= bytes_of(*record);
      homes_.erase(turn);
    }
    entries_.erase(oldest);
  }
}

auto program_store::begin_turn(turn_order order, milliseconds time_left) -> task<result<turn_grant>> {
  auto self = shared_from_this();
  auto patience = order.patience_.value_or(settings_.begin_patience_);
  time_left = std::min(time_left, std::max(settings_.begin_limit_, patience + begin_after_wait));
  auto due = clock_.now() + time_left;
  auto patient_until = clock_.now() + std::min(patience, time_left);
  auto program = entry_of(order.program_);
  auto backlog = rows_->expected_write_wait(rank_of(order));
  auto hopeless = backlog > std::min(patience, time_left) && program->leased_.empty();
  if (hopeless) {  // Known before its history is read.
    co_return error{error_code::store_unavailable, "the store has too many writes to make",
                    ran_state::not_run, std::max(backlog, least_backlog_retry)};
  }
  ++program->users_;
  auto past = co_await collect_patiently(order.program_, order.previous_, patient_until, due);
  auto reserved = ok(past) ? status{success} : status{failure(past)};
  auto reservation = ok(past) ? take_leased(*program, order) : std::nullopt;
  if (ok(reserved) && !reservation) {
    reservation = co_await take_leased_elsewhere(program, order.most_tokens_);
  }
  if (ok(reserved) && !reservation) {
    reserved = co_await reserve(program, order, due - clock_.now());
  }
  --program->users_;
  shrink();
  if (!ok(reserved)) {
    co_return failure(reserved);
  }
  auto grant = turn_grant{};
  grant.reservation_ = reservation.value_or(order.turn_);
  program->begun_.insert(grant.reservation_);
  const auto& turns = value(past).turns_;
  for (auto turn = turns.rbegin(); turn != turns.rend(); ++turn) {
    grant.prompt_ += (*turn)->input_;
    grant.prompt_ += (*turn)->output_;
  }
  grant.prompt_ += order.input_;
  if (!turns.empty()) {
    grant.last_upstream_ = turns.front()->upstream_;
    if (value(past).first_program_ != program->name_) {
      grant.foreign_history_ = grant.prompt_.substr(0, grant.prompt_.size() - order.input_.size());
    }
  }
  co_return grant;
}

auto program_store::collect_patiently(owned_name program, std::string newest, milliseconds patient_until,
                                      milliseconds due) -> task<result<chain>> {
  while (true) {
    auto reachable = co_await rows_->wait_until_reachable(patient_until - clock_.now());
    if (!reachable) {
      co_return store_away("the store does not answer");
    }
    auto past = co_await collect(program, newest, due - clock_.now());
    auto went_away = !ok(past) && failure(past).code_ == error_code::store_unavailable;
    if (!went_away || clock_.now() >= patient_until) {
      co_return past;
    }
    co_await pause_for(*loop_, read_again_gap);
  }
}

auto program_store::take_leased(entry& program, const turn_order& order) -> std::optional<std::string> {
  auto now = clock_.now();
  auto& leased = program.leased_;
  leased.erase(std::remove_if(leased.begin(), leased.end(),
                              [&](const leased_reservation& one) { return one.usable_until_ <= now; }),
               leased.end());
  auto fits = [&](const leased_reservation& one) { return one.tokens_ >= order.most_tokens_; };
  auto found = std::find_if(leased.begin(), leased.end(), fits);
  if (found == leased.end()) {
    return std::nullopt;
  }
  auto name = std::move(found->name_);
  leased.erase(found);
  return name;
}

auto program_store::take_leased_elsewhere(entry_pointer program, std::int64_t tokens)
    -> task<std::optional<std::string>> {
  auto now = clock_.now();
  auto fresh = program->record_at_ && now - *program->record_at_ <= settings_.lease_view_;
  if (!budget_peers_ || !fresh) {
    co_return std::nullopt;
  }
  for (const auto& [name, held] : program->record_.reserved_) {
    auto holder = holder_of_lease(name);
    auto usable = held.expires_at_ > 0 && held.tokens_ >= tokens && !holder.empty();
    if (!usable || holder == settings_.daemon_ || program->begun_.count(name) != 0) {
      continue;
    }
    auto reservation = name;
    auto given = co_await budget_peers_->take_lease(program->name_, reservation, holder);
    co_return given ? std::optional{reservation} : std::nullopt;
  }
  co_return std::nullopt;
}

auto program_store::hand_over_lease(const std::string& program_key, const std::string& reservation) -> bool {
  auto known = entries_.find(program_key);
  if (known == entries_.end()) {
    return false;
  }
  auto& leased = known->second->leased_;
  auto is_it = [&](const leased_reservation& one) { return one.name_ == reservation; };
  auto found = std::find_if(leased.begin(), leased.end(), is_it);
  auto usable = found != leased.end() && found->usable_until_ > clock_.now() + settings_.lease_margin_;
  if (usable) {
    leased.erase(found);
  }
  return usable;
}

auto program_store::reserve(entry_pointer program, const turn_order& order, milliseconds time_left)
    -> task<status> {
  auto wanted = std::make_shared<change>(*loop_);
  wanted->turn_ = order.turn_;
  wanted->reservation_ = order.turn_;
  wanted->tokens_ = order.most_tokens_;
  wanted->budget_ = order.budget_;
  wanted->begin_rank_ = rank_of(order);
  auto patience = order.patience_.value_or(settings_.begin_patience_);
  wanted->give_up_at_ = clock_.now() + std::min(time_left, patience);
  if (order.previous_.empty() && program->version_ == version_not_read) {
    program->version_ = version_absent;  // A first turn; a program that exists shows itself as a conflict.
  }
  queue(program, wanted);
  auto reserved = co_await wait_for(wanted, time_left);
  if (!ok(reserved)) {
    wanted->expired_ = true;
    wanted->give_up_at_ = clock_.now();
    auto may_be_reserved = wanted->sent_ && failure(reserved).code_ != error_code::budget_exhausted;
    if (may_be_reserved) {
      cancel_turn(order.program_, order.turn_);
    }
  }
  co_return reserved;
}

auto program_store::end_turn(turn_end ended, milliseconds time_left) -> task<status> {
  auto self = shared_from_this();
  auto program = entry_of(ended.program_);
  program->begun_.erase(ended.reservation_);
  auto wanted = std::make_shared<change>(*loop_);
  wanted->kind_ = change::kind::settle;
  wanted->turn_ = ended.turn_;
  wanted->turn_key_ = key_name(owned_name{ended.program_.account_, ended.turn_});
  wanted->reservation_ = ended.reservation_;
  wanted->tokens_ = ended.tokens_;
  wanted->most_tokens_ = ended.most_tokens_;
  wanted->longest_turn_ = ended.longest_turn_;
  wanted->budget_ = ended.budget_;
  wanted->give_up_at_ = clock_.now() + std::max(time_left, settings_.cleanup_patience_);
  if (ended.whole_) {
    wanted->whole_ = std::make_shared<const turn_record>(std::move(*ended.whole_));
  }
  queue(program, wanted);
  co_return co_await wait_for(wanted, time_left);
}

auto program_store::cancel_turn(const owned_name& program, const std::string& reservation) -> void {
  auto wanted = std::make_shared<change>(*loop_);
  wanted->kind_ = change::kind::release;
  wanted->turn_ = reservation;
  wanted->reservation_ = reservation;
  wanted->give_up_at_ = clock_.now() + settings_.cleanup_patience_;
  entry_of(program)->begun_.erase(reservation);
  queue(entry_of(program), wanted);
}

auto program_store::queue(const entry_pointer& program, change_pointer wanted) -> void {
  program->queue_.push_back(std::move(wanted));
  if (!program->writing_) {
    program->writing_ = true;
    start(*loop_, "write_changes", write_changes(program));
  }
}

auto program_store::wait_for(change_pointer wanted, milliseconds time_left) -> task<status> {
  auto due = clock_.now() + time_left;
  while (!wanted->done_ && clock_.now() < due) {
    co_await wanted->finished_.wait_for(due - clock_.now());
  }
  if (!wanted->done_) {
    co_return store_away("the store has not answered in time");
  }
  co_return wanted->outcome_;
}

}  // namespace birchlever

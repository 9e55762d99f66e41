/// The part of program_store that shares a budget between concurrent turns of a program, and refuses turns of
/// programs whose budget is spent.
///
/// What is left of a budget may be reserved for turns that run elsewhere or are expected at another daemon.
/// A turn that finds nothing left first requests such a lease from its holder, then waits for about the
/// duration of a turn, since most turns use only a part of their reservation.
#include <algorithm>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto smoothing = 0.125;  // Weight of the newest turn in the smoothed duration.
constexpr auto min_turn_wait =
    milliseconds{100};  // A few store calls; an earlier retry finds the budget unchanged.
constexpr auto lease_requests_at_start = std::size_t{1};  // Saves a store write; not needed to be served.
constexpr auto max_lease_requests = std::size_t{3};       // Each takes at most 40 ms.

/// Returns the tokens of a record that turns with stored history have spent. Tokens drawn in advance may
/// still be unused.
auto tokens_spent_by_turns(const program_record& record) -> std::int64_t {
  auto spent = record.spent_;
  for (const auto& [daemon, drawn] : record.drawn_) {
    spent -= drawn.tokens_;
  }
  return spent;
}

}  // namespace

auto program_store::acquire_reservation(entry_pointer program, const turn_request& order,
                                        const turn_limits& limits) -> task<result<std::string>> {
  auto held = co_await start_under_local_lease(program, order);
  if (held) {
    co_return std::move(*held);
  }
  auto requested = std::set<std::string>{};
  auto remote = co_await acquire_remote_lease(program, order, settings_.lease_max_age_,
                                              lease_requests_at_start, requested);
  if (remote) {
    co_return std::move(*remote);
  }
  auto max_wait = order.max_wait_.value_or(settings_.max_start_wait_);
  auto resolved = program->resolved_;
  auto reserved = co_await reserve(program, order, limits, max_wait);
  auto exhausted = !ok(reserved.status_) && failure(reserved.status_).code_ == error_code::budget_exhausted;
  if (exhausted || (reserved.budget_leased_ && !settings_.spent_memory_)) {  // Otherwise share_budget asks.
    co_await inquire_leases(program, false);
    if (program->resolved_ != resolved) {
      reserved = co_await reserve(program, order, limits, max_wait);
    }
  }
  if (ok(reserved.status_)) {
    retire_bypassed_lease(program, order);
    co_return order.turn_;
  }
  if (!settings_.spent_memory_ || !reserved.budget_leased_) {
    co_return failure(reserved.status_);
  }
  auto shared = co_await share_budget(program, order, limits, requested, resolved);
  co_return shared;
}

auto program_store::find_remote_leases(const entry& program, std::int64_t tokens) const
    -> std::vector<std::pair<std::string, reservation>> {
  auto found = std::vector<std::pair<std::string, reservation>>{};
  for (const auto& [name, held] : program.record_.reserved_) {
    auto holder = holder_of_lease(name);
    auto usable = held.expires_at_ > 0 && !is_expired(held) && held.tokens_ == tokens && !holder.empty();
    if (usable && holder != settings_.daemon_ && leases_.use_of(name) == lease_use::unknown) {
      found.emplace_back(name, held);
    }
  }
  return found;
}

auto program_store::acquire_remote_lease(entry_pointer program, const turn_request& order,
                                         milliseconds max_age, std::size_t max_requests,
                                         std::set<std::string>& requested)
    -> task<std::optional<std::string>> {
  auto is_current = program->record_at_ && clock_.now() - *program->record_at_ <= max_age;
  if (!budget_peers_ || !is_current) {
    co_return std::nullopt;
  }
  auto leases = find_remote_leases(*program, order.max_tokens_);
  for (const auto& [name, held] : leases) {
    if (requested.size() >= max_requests) {
      co_return std::nullopt;
    }
    if (!requested.insert(name).second) {
      continue;
    }
    auto given = co_await budget_peers_->request_lease(program->name_, name, holder_of_lease(name));
    if (!given) {
      continue;
    }
    auto started = co_await start_under_lease(program, order, name, held);
    if (started) {
      co_return name;
    }
  }
  co_return std::nullopt;
}

auto program_store::share_budget(entry_pointer program, const turn_request& order, const turn_limits& limits,
                                 std::set<std::string>& requested, int resolved)
    -> task<result<std::string>> {
  auto started_at = clock_.now();
  auto turn_ms = expected_turn_duration();
  auto give_up_at = std::min({limits.wait_until_, limits.due_, started_at + turn_ms});
  auto log_outcome = [&](const char* outcome, const std::string& reservation) {
    auto record_at = program->record_at_.value_or(started_at);
    log_event(log_level::info, "budget_shared",
              {{"request", order.turn_},
               {"program", program->name_},
               {"outcome", std::string{outcome}},
               {"reservation", reservation},
               {"waited_ms", clock_.now() - started_at},
               {"wait_limit_ms", give_up_at - started_at},
               {"turn_ms", turn_ms},
               {"spent", program->record_.spent_},
               {"committed", program->record_.committed()},
               {"budget", order.budget_.value_or(0)},
               {"record_age_ms", clock_.now() - record_at}});
  };
  auto waited = false;
  while (true) {
    auto lease = co_await acquire_remote_lease(program, order, settings_.start_timeout_, max_lease_requests,
                                               requested);
    if (lease) {
      ++statistics_.shared_leases_;
      log_outcome("lease_transferred", *lease);
      co_return std::move(*lease);
    }
    co_await inquire_leases(program, false);
    auto released = std::exchange(resolved, program->resolved_) != program->resolved_;
    if (!released && clock_.now() >= give_up_at) {
      log_outcome("refused", "");
      co_return budget_reserved_error();
    }
    if (!released) {
      statistics_.waits_ += std::exchange(waited, true) ? 0 : 1;
      auto changed_here = co_await program->changed_.wait_for(give_up_at - clock_.now());
      if (!changed_here) {
        program->record_at_.reset();  // Turns of other daemons may have ended; a refusal requires a new read.
      }
      auto local = co_await start_under_local_lease(program, order);
      if (local) {
        ++statistics_.waits_served_;
        log_outcome("lease_held", *local);
        co_return std::move(*local);
      }
    }
    auto wait_left = std::max<milliseconds>(limits.wait_until_ - clock_.now(), 0);
    auto reserved = co_await reserve(program, order, limits, wait_left);
    if (ok(reserved.status_)) {
      ++statistics_.waits_served_;
      log_outcome("reserved", order.turn_);
      co_return order.turn_;
    }
    if (!reserved.budget_leased_) {
      log_outcome("failed", "");
      co_return failure(reserved.status_);
    }
  }
}

auto program_store::budget_reserved_error() const -> error {
  return {error_code::store_unavailable, "rest of the program's budget is reserved for its other turns",
          ran_state::not_run, expected_turn_duration()};
}

auto program_store::expected_turn_duration() const -> milliseconds {
  auto expected =
      smoothed_turn_ms_ ? static_cast<milliseconds>(*smoothed_turn_ms_) : settings_.initial_turn_duration_;
  return std::clamp(expected, min_turn_wait, std::max(min_turn_wait, settings_.retry_after_));
}

auto program_store::record_turn_duration(milliseconds duration) -> void {
  auto newest = static_cast<double>(duration);
  auto before = smoothed_turn_ms_.value_or(newest);
  smoothed_turn_ms_ = before + smoothing * (newest - before);
}

auto program_store::refuse_if_spent(const turn_request& order, milliseconds time_left)
    -> task<std::optional<error>> {
  if (!settings_.spent_memory_ || !order.budget_) {
    co_return std::nullopt;
  }
  auto name = key_name(order.program_);
  auto known = spent_.check(name, *order.budget_, order.max_tokens_, clock_.now());
  if (known.knowledge_ == spent_knowledge::unconfirmed) {
    co_await confirm_spent(entry_named(name), order, time_left);
    known = spent_.check(name, *order.budget_, order.max_tokens_, clock_.now());
  }
  if (known.knowledge_ != spent_knowledge::confirmed) {
    co_return std::nullopt;
  }
  ++statistics_.refused_from_memory_;
  log_event(log_level::info, "budget_refused_from_memory",
            {{"request", order.turn_},
             {"program", name},
             {"spent", known.tokens_},
             {"budget", *order.budget_},
             {"max_tokens", order.max_tokens_},
             {"age_ms", known.age_}});
  co_return error{error_code::budget_exhausted,
                  "remaining budget of the program is below the token limit of the turn"};
}

auto program_store::confirm_spent(entry_pointer program, const turn_request& order, milliseconds time_left)
    -> task<> {
  if (!rows_->reachable()) {
    co_return;  // Unconfirmed knowledge refuses nothing.
  }
  if (program->confirming_) {
    co_await program->changed_.wait_for(time_left);
    co_return;
  }
  program->confirming_ = true;
  auto loaded = co_await load(program, false, std::min(time_left, settings_.call_limit_));
  program->confirming_ = false;
  auto now = clock_.now();
  auto spent = ok(loaded) ? tokens_spent_by_turns(program->record_) : 0;
  auto is_spent = ok(loaded) && spent > *order.budget_ - order.max_tokens_;
  if (is_spent) {
    ++statistics_.reports_confirmed_;
    spent_.confirm(program->name_, spent, program->record_at_.value_or(now), now);
  } else if (ok(loaded)) {
    ++statistics_.reports_refuted_;
    spent_.refute(program->name_, now);
  }
  log_event(log_level::info, "spent_program_checked",
            {{"request", order.turn_},
             {"program", program->name_},
             {"read", ok(loaded)},
             {"confirmed", is_spent},
             {"spent", spent},
             {"budget", *order.budget_}});
  program->changed_.notify();
  program.reset();
  evict();
}

auto program_store::remember_if_spent(const entry& program, const change& pending,
                                      const program_record& record) -> void {
  auto next_limit = pending.kind_ == change::kind::settle ? pending.max_tokens_ : pending.tokens_;
  auto may_be_spent = pending.kind_ == change::kind::settle || pending.kind_ == change::kind::reserve;
  if (!settings_.spent_memory_ || !pending.budget_ || !may_be_spent || !program.record_at_) {
    return;
  }
  auto spent = tokens_spent_by_turns(record);
  if (spent <= *pending.budget_ - next_limit) {
    return;
  }
  auto known = spent_.check(program.name_, *pending.budget_, next_limit, clock_.now());
  spent_.confirm(program.name_, spent, *program.record_at_, clock_.now());
  if (known.knowledge_ != spent_knowledge::confirmed) {
    log_event(log_level::info, "program_spent",
              {{"request", pending.turn_},
               {"program", program.name_},
               {"spent", spent},
               {"budget", *pending.budget_},
               {"max_tokens", next_limit},
               {"record_age_ms", clock_.now() - *program.record_at_}});
  }
}

auto program_store::record_spent_reports(const std::vector<spent_report>& reports) -> void {
  if (!settings_.spent_memory_) {
    return;
  }
  for (const auto& report : reports) {
    spent_.record_report(report, clock_.now());
  }
}

}  // namespace birchlever

/// The part of program_store that starts turns under leased reservations, and finds out what became of the
/// leases of other daemons.
///
/// A reservation is removed only when it is certain that no turn uses it: its holder says so, or its witness,
/// which then refuses each later use. An expired lease that was used counts as spent. One of which nobody
/// knows whether it was used stays reserved, and one turn may exceed the budget by it.
#include <algorithm>
#include <cassert>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto keep_margin = milliseconds{10'000};  // Covers errors of the store's clock and slow calls.
constexpr auto silent_inquiries = 2;  // Without an answer, of an expired lease; a single answer may be lost.

}  // namespace

auto program_store::is_expired(const reservation& held) const -> bool {
  return held.expires_at_ > 0 && store_clock_known_ && held.expires_at_ <= store_now();
}

auto program_store::keep_for(milliseconds expires_at) const -> milliseconds {
  assert(store_clock_known_);  // Set by the call that read or wrote the lease.
  return std::max<milliseconds>(expires_at - store_now(), 0) + settings_.lease_memory_ + keep_margin;
}

auto program_store::acquire_local_lease(entry& program, const turn_request& order)
    -> std::optional<leased_reservation> {
  auto now = clock_.now();
  auto& leased = program.leased_;
  std::erase_if(leased, [&](const leased_reservation& entry) { return entry.usable_until_ <= now; });
  // Under a larger lease a turn that is lost with its daemon would count at more than its most.
  auto fits = [&](const leased_reservation& entry) { return entry.tokens_ == order.max_tokens_; };
  auto found = std::find_if(leased.begin(), leased.end(), fits);
  if (found == leased.end()) {
    return std::nullopt;
  }
  auto lease = std::move(*found);
  leased.erase(found);
  return lease;
}

auto program_store::start_under_local_lease(entry_pointer program, const turn_request& order)
    -> task<std::optional<std::string>> {
  auto local = acquire_local_lease(*program, order);
  while (local) {
    auto held = reservation{local->tokens_, local->expires_at_, local->witness_};
    auto started = co_await start_under_lease(program, order, local->name_, held);
    if (started) {
      co_return std::move(local->name_);
    }
    local = acquire_local_lease(*program, order);
  }
  co_return std::nullopt;
}

auto program_store::start_under_lease(entry_pointer program, const turn_request& order, std::string lease,
                                      reservation held) -> task<bool> {
  auto keep = keep_for(held.expires_at_);
  if (!leases_.begin_use(lease, clock_.now() + keep, clock_.now())) {
    co_return false;
  }
  // A witness of its own use would be lost together with the turn, so the holder takes its place.
  auto is_witness = held.witness_ == settings_.daemon_;
  auto witness = is_witness ? holder_of_lease(lease) : held.witness_;
  auto may_start = !is_witness || witness_use(lease, keep);
  auto recorded = witness.empty();
  if (may_start && !recorded && budget_peers_) {
    recorded = co_await budget_peers_->record_lease_use(lease, witness, keep);
  }
  if (recorded) {
    co_return true;
  }
  leases_.abandon_use(lease, clock_.now() + keep, clock_.now());
  ++statistics_.leases_not_witnessed_;
  log_event(log_level::info, "lease_not_witnessed",
            {{"request", order.turn_},
             {"program", program->name_},
             {"reservation", lease},
             {"witness", witness},
             {"revoked", !may_start}});
  co_return false;
}

auto program_store::transfer_lease(const std::string& program_key, const std::string& reservation,
                                   const std::string& recipient) -> bool {
  auto known = entries_.find(program_key);
  if (known == entries_.end()) {
    return false;
  }
  auto& leased = known->second->leased_;
  auto matches = [&](const leased_reservation& entry) { return entry.name_ == reservation; };
  auto found = std::find_if(leased.begin(), leased.end(), matches);
  auto now = clock_.now();
  auto usable = found != leased.end() && found->usable_until_ > now + settings_.lease_margin_;
  // A daemon of an earlier version, which sends no name, would not record the use with the witness.
  if (!usable || (recipient.empty() && !found->witness_.empty())) {
    return false;
  }
  auto transferred = leases_.transfer(reservation, recipient, now + keep_for(found->expires_at_), now);
  leased.erase(found);
  return transferred;
}

auto program_store::answer_inquiry(const std::string& program_key, const std::string& lease,
                                   milliseconds keep_for) -> lease_answer {
  auto known = entries_.find(program_key);
  if (known != entries_.end()) {
    std::erase_if(known->second->leased_,
                  [&](const leased_reservation& entry) { return entry.name_ == lease; });
  }
  auto now = clock_.now();
  if (leases_.retire(lease, now + keep_for, now)) {
    return {lease_state::unused, {}};
  }
  auto recipient = leases_.recipient_of(lease);
  return {recipient.empty() ? lease_state::in_use : lease_state::transferred, recipient};
}

auto program_store::witness_use(const std::string& lease, milliseconds keep_for) -> bool {
  auto now = clock_.now();
  return leases_.witness_use(lease, now + keep_for, now);
}

auto program_store::revoke(const std::string& lease, milliseconds keep_for) -> lease_answer {
  auto now = clock_.now();
  auto revoked = leases_.use_of(lease) != lease_use::in_use && leases_.revoke(lease, now + keep_for, now);
  return {revoked ? lease_state::unused : lease_state::in_use, {}};
}

auto program_store::release(const entry_pointer& program, const std::string& name) -> void {
  auto pending = std::make_shared<change>(*loop_);
  pending->kind_ = change::kind::release;
  pending->turn_ = name;
  pending->reservation_ = name;
  pending->times_out_at_ = clock_.now() + settings_.cleanup_timeout_;
  queue(program, std::move(pending));
}

auto program_store::release_leases() -> void {
  leasing_ = false;
  auto now = clock_.now();
  auto releases = std::vector<std::pair<entry_pointer, std::string>>{};  // Writes may evict entries.
  for (const auto& [name, program] : entries_) {
    for (const auto& lease : std::exchange(program->leased_, {})) {
      leases_.retire(lease.name_, now + keep_for(lease.expires_at_), now);
      releases.emplace_back(program, lease.name_);
    }
  }
  for (const auto& [program, lease] : releases) {
    release(program, lease);
  }
  log_event(log_level::info, "leases_released", {{"leases", static_cast<std::int64_t>(releases.size())}});
}

auto program_store::release_retired(const entry_pointer& program) -> void {
  for (const auto& [name, held] : program->record_.reserved_) {
    if (leases_.use_of(name) == lease_use::retired) {
      release(program, name);  // The same write removes the others.
      return;
    }
  }
}

auto program_store::is_lost(const entry& program, const std::string& name, const reservation& held) const
    -> bool {
  if (held.expires_at_ == 0) {
    auto overdue = held.ends_by_ > 0 && store_clock_known_ && held.ends_by_ <= store_now();
    return overdue && program.started_.count(name) == 0;
  }
  if (is_unaccounted(program, name, held)) {
    return true;
  }
  if (!is_expired(held) || leases_.use_of(name) == lease_use::in_use) {
    return false;
  }
  auto asked = program.inquired_.find(name);
  auto known_used = asked != program.inquired_.end() && asked->second.after_expiry_ > 0 &&
                    (asked->second.state_ == lease_state::in_use || held.witness_.empty());
  return known_used || !can_inquire(name, held);
}

auto program_store::is_unaccounted(const entry& program, const std::string& name,
                                   const reservation& held) const -> bool {
  auto use = leases_.use_of(name);
  if (held.expires_at_ == 0 || held.witness_.empty() || use == lease_use::in_use) {
    return false;
  }
  auto found = program.inquired_.find(name);
  auto asked = found == program.inquired_.end() ? lease_inquiry{} : found->second;
  if (asked.state_ == lease_state::lost) {
    return true;  // No turn runs under it: its daemon is gone.
  }
  auto silent = asked.state_ == lease_state::unresolved && asked.after_expiry_ >= silent_inquiries;
  return is_expired(held) && asked.state_ != lease_state::in_use && (silent || !can_inquire(name, held));
}

auto program_store::overdraft(const entry& program, const program_record& record) const -> std::int64_t {
  auto most = std::int64_t{0};
  if (!record.drawn_.empty()) {
    return most;  // Tokens drawn ahead have an allowance of their own.
  }
  for (const auto& [name, held] : record.reserved_) {
    most = is_unaccounted(program, name, held) ? std::max(most, held.tokens_) : most;
  }
  return most;
}

auto program_store::lost_tokens(const entry& program, const program_record& record) const -> std::int64_t {
  auto total = std::int64_t{0};
  for (const auto& [name, held] : record.reserved_) {
    total += is_lost(program, name, held) ? held.tokens_ : 0;
  }
  return total;
}

auto program_store::has_open_leases(const entry& program, const program_record& record) const -> bool {
  return std::any_of(record.reserved_.begin(), record.reserved_.end(), [&](const auto& entry) {
    return !holder_of_lease(entry.first).empty() && !is_lost(program, entry.first, entry.second);
  });
}

auto program_store::drop_unused_leases(const entry& program, program_record& record) const -> void {
  auto now = clock_.now();
  std::erase_if(record.reserved_, [&](const auto& entry) {
    const auto& [name, held] = entry;
    auto use = leases_.use_of(name);
    auto own = held.expires_at_ > 0 && holder_of_lease(name) == settings_.daemon_;
    if (use != lease_use::unknown || !own) {
      return use == lease_use::retired;
    }
    auto matches = [&name = name](const leased_reservation& lease) { return lease.name_ == name; };
    auto kept = std::find_if(program.leased_.begin(), program.leased_.end(), matches);
    if (kept != program.leased_.end()) {
      return kept->usable_until_ <= now;
    }
    // The write that leased it got no response, or the program was evicted: no turn starts under it.
    return is_expired(held) && store_now() + store_clock_error_ <= held.expires_at_ + settings_.lease_memory_;
  });
}

auto program_store::record_used_leases(const entry& program, program_record& record) const -> void {
  for (auto& [name, held] : record.reserved_) {
    auto asked = program.inquired_.find(name);
    auto used_elsewhere = asked != program.inquired_.end() && asked->second.state_ == lease_state::in_use;
    if (held.expires_at_ > 0 && (used_elsewhere || program.started_.count(name) != 0)) {
      held = {held.tokens_, 0, {}, held.expires_at_};
    }
  }
}

auto program_store::adopt_lease(const entry& program, const change& settled, batch_plan& planned) const
    -> void {
  auto name = lease_name(settled.turn_key_, settings_.daemon_);
  auto found = planned.record_.reserved_.find(name);
  auto is_held = std::any_of(program.leased_.begin(), program.leased_.end(),
                             [&](const leased_reservation& lease) { return lease.name_ == name; });
  auto adopted = found != planned.record_.reserved_.end() && !is_held && leasing_ &&
                 leases_.use_of(name) == lease_use::unknown;
  if (adopted) {
    const auto& held = found->second;
    auto usable_until = held.expires_at_ - store_clock_offset_ - longest_next_turn(settled);
    planned.leased_.push_back(
        {name, held.tokens_, usable_until - store_clock_error_, held.expires_at_, held.witness_});
  }
}

auto program_store::longest_next_turn(const change& settled) const -> milliseconds {
  return std::max(settings_.max_turn_duration_, settled.max_next_duration_);
}

}  // namespace birchlever

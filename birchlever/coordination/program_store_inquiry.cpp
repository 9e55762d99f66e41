/// The part of program_store that asks other daemons what became of their leases.
#include <algorithm>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_inquiries = std::size_t{4};  // Leases of one program asked about at a time.

}  // namespace

auto program_store::can_inquire(const std::string& lease, const reservation& held) const -> bool {
  auto use = leases_.use_of(lease);
  auto elsewhere = use == lease_use::transferred ||
                   (use == lease_use::unknown && holder_of_lease(lease) != settings_.daemon_);
  // Later, a witness that forgot a use would say that the lease is unused.
  auto remembered =
      store_clock_known_ && store_now() + store_clock_error_ <= held.expires_at_ + settings_.lease_memory_;
  return budget_peers_ && held.expires_at_ > 0 && elsewhere && remembered;
}

auto program_store::needs_inquiry(const entry& program, const std::string& lease, const reservation& held,
                                  bool only_expired) const -> bool {
  auto asked = program.inquired_.find(lease);
  auto recent =
      asked != program.inquired_.end() && clock_.now() - asked->second.asked_at_ < settings_.inquiry_max_age_;
  return !recent && (!only_expired || is_expired(held)) && can_inquire(lease, held);
}

auto program_store::ask_users(std::string program, std::string lease, milliseconds keep)
    -> task<lease_answer> {
  auto recipient = leases_.recipient_of(lease);
  if (recipient.empty()) {
    auto answer = co_await budget_peers_->inquire_lease(program, lease, holder_of_lease(lease), keep);
    if (answer.state_ != lease_state::transferred) {
      co_return answer;
    }
    recipient = answer.recipient_;
  }
  if (recipient == settings_.daemon_) {
    co_return lease_answer{lease_state::unused, {}};  // The response to this daemon's request was lost.
  }
  auto answer = co_await budget_peers_->inquire_lease(program, lease, recipient, keep);
  co_return lease_answer{answer.state_, recipient};
}

auto program_store::ask_witness(std::string lease, std::string witness, milliseconds keep)
    -> task<lease_state> {
  if (witness.empty()) {
    co_return lease_state::unresolved;
  }
  if (witness == settings_.daemon_) {
    co_return revoke(lease, keep).state_;
  }
  auto answer = co_await budget_peers_->revoke_lease(lease, witness, keep);
  co_return answer.state_;
}

auto program_store::inquire_lease(entry_pointer program, std::string lease, reservation held)
    -> task<lease_state> {
  auto keep = keep_for(held.expires_at_);
  auto by_users = co_await ask_users(program->name_, lease, keep);
  auto state = by_users.state_;
  if (state != lease_state::unused && state != lease_state::in_use) {
    // See start_under_lease: the holder witnesses the use of a lease by its witness.
    auto witness = by_users.recipient_ == held.witness_ ? holder_of_lease(lease) : held.witness_;
    auto by_witness = co_await ask_witness(lease, std::move(witness), keep);
    auto users_silent = by_witness == lease_state::lost && state != lease_state::lost;
    state = users_silent ? lease_state::unresolved : by_witness;
  }
  log_event(log_level::info, "lease_inquired",
            {{"program", program->name_},
             {"reservation", lease},
             {"witness", held.witness_},
             {"users", std::string{name_of(by_users.state_)}},
             {"state", std::string{name_of(state)}},
             {"expired", is_expired(held)},
             {"tokens", held.tokens_}});
  co_return state;
}

auto program_store::inquire(entry_pointer program, std::string name, reservation held) -> task<> {
  auto after_expiry = is_expired(held);
  auto state = co_await inquire_lease(program, name, held);
  auto now = clock_.now();
  if (state == lease_state::unused && leases_.confirm_unused(name, now + keep_for(held.expires_at_), now)) {
    ++statistics_.leases_found_unused_;
    ++program->resolved_;
    co_return;
  }
  auto lost_before = is_lost(*program, name, held);
  auto unaccounted_before = is_unaccounted(*program, name, held);
  auto& inquiry = program->inquired_[name];
  inquiry = {now, state, inquiry.after_expiry_ + (after_expiry ? 1 : 0)};
  program->resolved_ += is_lost(*program, name, held) != lost_before ? 1 : 0;
  auto unaccounted = is_unaccounted(*program, name, held) && !unaccounted_before;
  statistics_.leases_unaccounted_ += unaccounted ? 1 : 0;
  ++statistics_.leases_unresolved_;
}

auto program_store::inquire_leases(entry_pointer program, bool only_expired) -> task<> {
  if (!budget_peers_) {
    co_return;
  }
  auto self = shared_from_this();
  auto asked = std::vector<std::pair<std::string, reservation>>{};
  for (const auto& [name, held] : program->record_.reserved_) {
    if (asked.size() < max_inquiries && needs_inquiry(*program, name, held, only_expired)) {
      asked.emplace_back(name, held);
    }
  }
  for (const auto& [name, held] : asked) {
    co_await inquire(program, name, held);
  }
  const auto& reserved = program->record_.reserved_;
  std::erase_if(program->inquired_, [&](const auto& entry) { return reserved.count(entry.first) == 0; });
}

auto program_store::start_inquiry(const entry_pointer& program) -> void {
  const auto& reserved = program->record_.reserved_;
  auto needed = std::any_of(reserved.begin(), reserved.end(), [&](const auto& entry) {
    return needs_inquiry(*program, entry.first, entry.second, true);
  });
  if (!needed || program->inquiring_ || !budget_peers_) {
    return;
  }
  program->inquiring_ = true;
  auto inquire = [](std::shared_ptr<program_store> store, entry_pointer about) -> task<> {
    co_await store->inquire_leases(about, true);
    about->inquiring_ = false;
    about.reset();
    store->evict();
  };
  start(*loop_, "inquire_leases", inquire(shared_from_this(), program));
}

auto program_store::retire_bypassed_lease(const entry_pointer& program, const turn_request& order) -> void {
  auto made_by = key_name(scoped_name{order.program_.account_, order.previous_}) + lease_separator;
  auto next = program->record_.reserved_.lower_bound(made_by);
  auto found = next != program->record_.reserved_.end() && next->first.starts_with(made_by);
  if (!found || order.previous_.empty() || is_expired(next->second) ||
      !needs_inquiry(*program, next->first, next->second, false)) {
    return;
  }
  auto retire = [](std::shared_ptr<program_store> store, entry_pointer about, std::string lease,
                   reservation held) -> task<> {
    co_await store->inquire(about, lease, held);
    about.reset();
    store->evict();
  };
  start(*loop_, "retire_lease", retire(shared_from_this(), program, next->first, next->second));
}

}  // namespace birchlever

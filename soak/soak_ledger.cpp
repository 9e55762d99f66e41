#include "soak/soak_ledger.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace birchlever::soak {

auto name_of(promise broken) -> const char* {
  constexpr auto names =
      std::array<const char*, 15>{"at_most_once",         "refusal_is_true",   "answer_is_whole",
                                  "chain_is_exact",       "budget_holds",      "turn_is_kept",
                                  "leaving_gets_nothing", "change_in_force",   "planned_stop_cuts_nothing",
                                  "accounts_are_apart",   "revoked_key_stops", "allotment_holds",
                                  "crashes_are_bounded",  "memory_holds",      "process_runs_on"};
  return names.at(static_cast<std::size_t>(broken));
}

auto soak_ledger::broken(promise which, const std::string& detail) -> void {
  faults_.push_back(std::string{name_of(which)} + ": " + detail);
  std::cerr << "BROKEN " << faults_.back() << std::endl;
}

auto soak_ledger::sent(const std::string& request, const std::string& prompt, bool repeatable,
                       const sender& from) -> void {
  sent_[request] = {prompt, repeatable, from, clock_->now(), std::nullopt};
}

auto soak_ledger::revoked(const std::string& key, milliseconds bound) -> void {
  stops_at_[key] = clock_->now() + bound;
}

auto soak_ledger::check_sender(const std::string& request, const request_state& state,
                               const std::string& account) -> void {
  if (account != state.from_.account_) {
    broken(promise::accounts_are_apart,
           request + " of " + state.from_.account_ + " runs for account '" + account + "'");
  }
  auto stopped = stops_at_.find(state.from_.key_);
  if (stopped != stops_at_.end() && state.sent_at_ > stopped->second) {
    broken(promise::revoked_key_stops, request + " was sent " +
                                           std::to_string(state.sent_at_ - stopped->second) +
                                           " ms after the bound of its key, and runs");
  }
}

auto soak_ledger::check_allotment(const std::string& account, milliseconds window, int most) -> void {
  auto spans = std::vector<std::pair<milliseconds, milliseconds>>{};
  for (const auto& [request, state] : sent_) {
    if (state.from_.account_ == account && state.ran_at_) {
      spans.emplace_back(state.sent_at_, *state.ran_at_);
    }
  }
  for (const auto& first : spans) {
    auto inside = std::count_if(spans.begin(), spans.end(), [&](const auto& one) {
      return one.first >= first.first && one.second < first.first + window;
    });
    if (inside > most) {
      broken(promise::allotment_holds, account + " ran " + std::to_string(inside) + " requests in " +
                                           std::to_string(window) + " ms, " + std::to_string(most) +
                                           " are allowed");
      return;
    }
  }
}

auto soak_ledger::ran_unread(const std::string& request, const std::string& upstream,
                             const std::string& account) -> void {
  auto count = ++runs_[request];
  auto known = sent_.find(request);
  if (known == sent_.end()) {
    broken(promise::chain_is_exact, request + " runs at " + upstream + " and no caller sent it");
    return;
  }
  known->second.ran_at_ = known->second.ran_at_.value_or(clock_->now());
  check_sender(request, known->second, account);
  if (count > 1 && !known->second.repeatable_) {
    broken(promise::at_most_once,
           request + " runs for the " + std::to_string(count) + ". time at " + upstream);
  }
  if (refused_.count(request) != 0) {
    broken(promise::refusal_is_true, request + " runs after its refusal at " + upstream);
  }
}

auto soak_ledger::ran(const std::string& request, const std::string& body, const std::string& upstream,
                      const std::string& account) -> void {
  ran_unread(request, upstream, account);
  auto known = sent_.find(request);
  if (known != sent_.end() && body != known->second.prompt_) {
    broken(promise::chain_is_exact, request + " has " + std::to_string(body.size()) + " bytes at " +
                                        upstream + " instead of " +
                                        std::to_string(known->second.prompt_.size()));
  }
}

auto soak_ledger::answered(const std::string& request, const std::string& bytes, bool whole) -> void {
  answers_[request].push_back({bytes, whole});
}

auto soak_ledger::got(const std::string& request, const std::string& bytes, bool whole, bool proven) -> void {
  if (!whole) {
    return;
  }
  ++whole_answers_;
  const auto& made = answers_[request];
  auto same = std::any_of(made.begin(), made.end(),
                          [&](const made_answer& one) { return one.whole_ && one.bytes_ == bytes; });
  if (!same || !proven) {
    broken(promise::answer_is_whole, request + " got " + std::to_string(bytes.size()) +
                                         " bytes as whole that no upstream made so" +
                                         (proven ? "" : ", unproven"));
  }
}

auto soak_ledger::got_error(const std::string& request, const std::string& bytes) -> void {
  const auto& made = answers_[request];
  auto cut = std::any_of(made.begin(), made.end(),
                         [&](const made_answer& one) { return !one.whole_ && one.bytes_ == bytes; });
  if (cut) {
    broken(promise::answer_is_whole, request + " got a part of an error response as whole");
  }
}

auto soak_ledger::refused(const std::string& request) -> void {
  refused_.insert(request);
  if (runs_.count(request) != 0) {
    broken(promise::refusal_is_true, request + " was refused as not run and had run");
  }
}

auto soak_ledger::check_refusals() -> void {
  for (const auto& request : refused_) {
    if (runs_.count(request) != 0) {
      broken(promise::refusal_is_true, request + " was refused as not run and ran");
    }
  }
}

auto soak_ledger::ended_under(const std::string& work) -> void {
  constexpr auto most_ended = 3;
  auto ended = ++ended_under_[work];
  if (ended > most_ended) {
    broken(promise::crashes_are_bounded, std::to_string(ended) + " upstreams ended under " + work);
  }
}

auto soak_ledger::ended_upstreams() const -> int {
  auto all = 0;
  for (const auto& [work, ended] : ended_under_) {
    all += ended;
  }
  return all;
}

}  // namespace birchlever::soak

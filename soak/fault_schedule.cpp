#include "soak/fault_schedule.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <iostream>

namespace birchlever::soak {
namespace {

constexpr auto shortest_fault_ms = 200;
constexpr auto longest_fault_ms = 2200;
constexpr auto longest_gap_ms = 700;  // Between the beginnings of two faults, which overlap therefore.
constexpr auto shortest_silent_gap_ms =
    3300;  // Longer than the calm time, so that the bounds hold in between.
constexpr auto longest_silent_gap_ms = 5300;
constexpr auto shortest_change_gap_ms = 300;
constexpr auto longest_change_gap_ms = 2500;
constexpr auto in_force_checked_ms = milliseconds{2500};  // From the bound on.
constexpr auto in_force_interval_ms = milliseconds{150};
constexpr auto most_writes_harmed = 6;
constexpr auto stop_limit_ms = milliseconds{8000};  // After which the platform kills.
constexpr auto look_ms = milliseconds{25};
constexpr auto drain_slack_ms = milliseconds{50};  // From the store's acknowledgement to the soak's clock.

}  // namespace

auto name_of(fault_kind kind) -> const char* {
  constexpr auto names = std::array<const char*, 10>{
      "store_link",     "store_down",     "store_late",  "store_answers_lost", "history_gone",
      "gateway_killed", "gateway_paused", "herd_killed", "upstream_faulty",    "connections_silent"};
  return names.at(static_cast<std::size_t>(kind));
}

fault_schedule::fault_schedule(event_loop& loop, const soak_settings& settings, soak_fleet& fleet,
                               soak_ledger& ledger)
    : loop_{&loop},
      settings_{settings},
      fleet_{&fleet},
      ledger_{&ledger},
      random_{settings.seed_ * 31 + 7},
      response_random_{settings.seed_ * 37 + 11},
      process_faults_{loop, settings, fleet} {}

auto fault_schedule::calm_since(milliseconds since) const -> bool {
  return active_ == 0 && last_fault_at_ + settings_.calm_ <= since;
}

auto fault_schedule::some_gateways() -> std::vector<int> {
  auto all = std::vector<int>{};
  for (auto number = 0; number < settings_.gateways_; ++number) {
    all.push_back(number);
  }
  std::shuffle(all.begin(), all.end(), random_);
  all.resize(static_cast<std::size_t>(1 + draw(settings_.gateways_ - 1)));
  return all;
}

auto fault_schedule::harm_links(milliseconds duration) -> task<> {
  constexpr auto states =
      std::array{link_state::slow, link_state::answers_lost, link_state::silent, link_state::resetting};
  auto state = states.at(static_cast<std::size_t>(draw(3)));
  auto numbers = some_gateways();
  for (auto number : numbers) {
    fleet_->gateways()[static_cast<std::size_t>(number)].store_link_->set(state);
  }
  co_await pause_for(*loop_, duration);
  for (auto number : numbers) {
    fleet_->gateways()[static_cast<std::size_t>(number)].store_link_->set(link_state::good);
  }
}

auto fault_schedule::kill_some(std::vector<int> numbers) -> task<> {
  for (auto number : numbers) {
    fleet_->kill_gateway(number);
  }
  co_await pause_for(*loop_, 100 + draw(900));
  for (auto number : numbers) {
    fleet_->start_gateway(number);
  }
}

auto fault_schedule::pause_one(milliseconds duration) -> task<> {
  auto number = draw(settings_.gateways_ - 1);
  fleet_->signal_gateway(number, SIGSTOP);
  co_await pause_for(*loop_, duration);
  fleet_->signal_gateway(number, SIGCONT);
}

auto fault_schedule::spoil_upstream(milliseconds duration) -> task<> {
  constexpr auto kinds = std::array{upstream_fault::refuses, upstream_fault::resets,
                                    upstream_fault::loses_answer, upstream_fault::breaks_off};
  auto chosen = static_cast<std::size_t>(draw(static_cast<int>(fleet_->upstreams().size()) - 1));
  auto* upstream = fleet_->upstreams()[chosen].get();
  upstream->set_fault(kinds.at(static_cast<std::size_t>(draw(3))), 0.3);
  co_await pause_for(*loop_, duration);
  upstream->set_fault(upstream_fault::none, 0);
}

auto fault_schedule::run_fault(fault_kind kind) -> task<> {
  auto duration = milliseconds{shortest_fault_ms + draw(longest_fault_ms - shortest_fault_ms)};
  auto& store = fleet_->rows().faults();
  ++active_;
  switch (kind) {
    case fault_kind::store_link:
      co_await harm_links(duration);
      break;
    case fault_kind::store_down:
      store.down_ = true;
      co_await pause_for(*loop_, duration);
      store.down_ = false;
      break;
    case fault_kind::store_late:
      store.late_ms_ = duration;
      store.late_commits_ = 1 + draw(most_writes_harmed);
      co_await pause_for(*loop_, 2 * duration);
      store.late_commits_ = 0;
      break;
    case fault_kind::store_answers_lost:
      store.lose_answers_ = 1 + draw(most_writes_harmed);
      co_await pause_for(*loop_, duration);
      store.lose_answers_ = 0;
      break;
    case fault_kind::history_gone:
      store.history_gone_ = true;
      co_await pause_for(*loop_, duration);
      break;
    case fault_kind::gateway_killed: {
      auto one = std::vector<int>{draw(settings_.gateways_ - 1)};
      co_await kill_some(std::move(one));
      break;
    }
    case fault_kind::gateway_paused:
      co_await pause_one(duration);
      break;
    case fault_kind::herd_killed: {
      auto several = some_gateways();
      co_await kill_some(std::move(several));
      break;
    }
    case fault_kind::upstream_faulty:
      co_await spoil_upstream(duration);
      break;
    case fault_kind::connections_silent:
      silence_connections();
      break;
  }
  --active_;
  last_fault_at_ = clock_.now();
}

auto fault_schedule::silence_connections() -> void {
  for (auto number : some_gateways()) {
    fleet_->gateways()[static_cast<std::size_t>(number)].store_link_->silence_open();
  }
  for (const auto& link : fleet_->upstream_links()) {
    link->silence_open();
  }
}

auto fault_schedule::draw_kind() -> fault_kind {
  if (settings_.faults_ == fault_set::silent) {
    return fault_kind::connections_silent;
  }
  auto last =
      settings_.faults_ == fault_set::usual ? fault_kind::upstream_faulty : fault_kind::connections_silent;
  return static_cast<fault_kind>(draw(static_cast<int>(last)));
}

auto fault_schedule::draw_gap() -> milliseconds {
  if (settings_.faults_ == fault_set::silent) {
    return shortest_silent_gap_ms + draw(longest_silent_gap_ms - shortest_silent_gap_ms);
  }
  return draw(longest_gap_ms);
}

auto fault_schedule::harm(milliseconds duration, soak_callers& callers) -> task<> {
  auto until = clock_.now() + duration;
  if (settings_.faults_ != fault_set::usual) {
    start(*loop_, "change_configurations", change_configurations(until, callers));
  }
  if (settings_.process_faults_) {
    start(*loop_, "harm_processes", harm_processes(until));
  }
  if (settings_.early_responses_) {
    start(*loop_, "harm_responses", harm_responses(until));
  }
  while (clock_.now() < until) {
    auto kind = draw_kind();
    std::cout << "fault " << name_of(kind) << "\n";
    start(*loop_, "run_fault", run_fault(kind));
    co_await pause_for(*loop_, draw_gap());
  }
  while (active_ > 0 || checks_ > 0) {
    co_await pause_for(*loop_, look_ms);
  }
}

auto fault_schedule::harm_processes(milliseconds until) -> task<> {
  while (clock_.now() < until) {
    start(*loop_, "run_process_fault", run_process_fault());
    co_await pause_for(*loop_, process_faults_.draw_gap());
  }
}

auto fault_schedule::harm_responses(milliseconds until) -> task<> {
  constexpr auto early_share = 0.3;
  constexpr auto change_gap_ms = milliseconds{500};
  ++active_;
  while (clock_.now() < until) {
    for (const auto& upstream : fleet_->upstreams()) {
      upstream->set_early_share(response_random_() % 2 == 0 ? early_share : 0);
    }
    co_await pause_for(*loop_, change_gap_ms);
  }
  for (const auto& upstream : fleet_->upstreams()) {
    upstream->set_early_share(0);
  }
  --active_;
  last_fault_at_ = clock_.now();
}

auto fault_schedule::run_process_fault() -> task<> {
  ++active_;
  co_await process_faults_.run_one();
  --active_;
  last_fault_at_ = clock_.now();
}

auto fault_schedule::change_configurations(milliseconds until, soak_callers& callers) -> task<> {
  while (clock_.now() < until) {
    co_await pause_for(*loop_, shortest_change_gap_ms + draw(longest_change_gap_ms - shortest_change_gap_ms));
    fleet_->configure(++version_);
    auto bound = clock_.now() + settings_.configuration_;
    start(*loop_, "check_in_force",
          check_in_force(version_, clock_.now(), bound + in_force_checked_ms, callers));
  }
}

auto fault_schedule::check_in_force(int version, milliseconds changed_at, milliseconds until,
                                    soak_callers& callers) -> task<> {
  ++checks_;
  co_await pause_for(*loop_, settings_.configuration_);
  while (clock_.now() < until) {
    for (auto number = 0; number < settings_.gateways_; ++number) {
      start(*loop_, "ask_for_route", ask_for_route(version, changed_at, number, callers));
    }
    co_await pause_for(*loop_, in_force_interval_ms);
  }
  --checks_;
}

auto fault_schedule::ask_for_route(int version, milliseconds changed_at, int gateway, soak_callers& callers)
    -> task<> {
  ++checks_;
  auto asked_at = clock_.now();
  auto path = "/extra-" + std::to_string(version) + "/x";
  auto heard = co_await callers.ask_plain(gateway, path);
  if (heard.status_ == 404 && calm_since(asked_at)) {
    ledger_->broken(promise::change_in_force,
                    path + " is unknown at gateway " + std::to_string(gateway) + " " +
                        std::to_string(asked_at - changed_at) + " ms after the change, " +
                        std::to_string(asked_at - last_fault_at_) + " ms after the last fault");
  }
  --checks_;
}

auto fault_schedule::change_configuration(soak_callers& callers) -> task<> {
  auto changed_at = clock_.now();
  fleet_->configure(++version_);
  co_await pause_for(*loop_, settings_.configuration_);
  auto path = "/extra-" + std::to_string(version_) + "/x";
  for (auto number = 0; number < settings_.gateways_; ++number) {
    auto heard = co_await callers.ask_plain(number, path);
    if (heard.status_ == 404 && calm_since(changed_at)) {
      ledger_->broken(promise::change_in_force, path + " is unknown at gateway " + std::to_string(number));
    }
  }
}

auto fault_schedule::leave_upstream() -> task<> {
  auto* leaving = fleet_->upstreams()[static_cast<std::size_t>(draw(settings_.engines_ - 1))].get();
  if (leaving->left_at()) {
    co_return;
  }
  auto left_at = clock_.now();
  fleet_->list_upstream(leaving->identity(), true);
  leaving->leave(left_at);
  co_await pause_for(*loop_, settings_.drain_ + settings_.calm_ / 2);
  if (leaving->reached_at() > left_at + settings_.drain_ + drain_slack_ms && calm_since(left_at)) {
    ledger_->broken(promise::leaving_gets_nothing, leaving->identity().id_ + " was reached " +
                                                       std::to_string(leaving->reached_at() - left_at) +
                                                       " ms after it began to leave");
  }
  fleet_->unlist_upstream(leaving->identity().id_);
  leaving->die();
  auto added = fleet_->add_upstream(true);
  if (!ok(added)) {
    ledger_->broken(promise::leaving_gets_nothing,
                    "the soak can't start an upstream: " + failure(added).detail_);
  }
}

auto fault_schedule::stop_gateway(int number) -> task<> {
  auto& gateway = fleet_->gateways()[static_cast<std::size_t>(number)];
  auto began = clock_.now();
  gateway.stopping_since_ = began;
  fleet_->signal_gateway(number, SIGTERM);
  auto ended = fleet_->reap(number);
  while (!ended && clock_.now() - began < stop_limit_ms) {
    co_await pause_for(*loop_, look_ms);
    ended = fleet_->reap(number);
  }
  if (!ended) {
    ledger_->broken(promise::planned_stop_cuts_nothing, "gateway " + std::to_string(number) + " did not end");
    fleet_->kill_gateway(number);
  }
  co_await pause_for(*loop_,
                     settings_.calm_ / 3);  // Callers notice what was cut before the mark is taken back.
  fleet_->start_gateway(number);
}

auto fault_schedule::plan(soak_callers& callers) -> task<> {
  co_await pause_for(*loop_, settings_.calm_);
  start(*loop_, "leave_upstream", leave_upstream());
  start(*loop_, "change_configuration", change_configuration(callers));
  auto reloaded = draw(settings_.gateways_ - 1);
  fleet_->change_settings(reloaded);
  fleet_->signal_gateway(reloaded, SIGHUP);
  auto stopped = (reloaded + 1) % settings_.gateways_;
  co_await stop_gateway(stopped);
}

auto fault_schedule::kill_all() -> task<> {
  ++active_;
  auto all = std::vector<int>{};
  for (auto number = 0; number < settings_.gateways_; ++number) {
    all.push_back(number);
  }
  co_await kill_some(std::move(all));
  --active_;
  last_fault_at_ = clock_.now();
}

}  // namespace birchlever::soak

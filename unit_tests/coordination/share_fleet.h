/// Three daemons with one store that share the budgets of programs.
#pragma once

#include <catch2/catch.hpp>
#include <map>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/coordination/idle_peers.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {

inline constexpr auto turn_limit = std::int64_t{40};
inline constexpr auto time_left = milliseconds{2000};
inline constexpr auto lease_timeout = milliseconds{40};   // As in budget_transfer_settings.
inline constexpr auto turn_duration = milliseconds{200};  // Assumed for waiting turns.

class share_fleet;

/// Connects a daemon to the others for leases.
class lease_peers final : public idle_peers {
 public:
  explicit lease_peers(share_fleet& fleet) : fleet_{&fleet} {}

  auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> override;

 private:
  share_fleet* fleet_;
};

/// Three daemons with one store, on one event loop.
class share_fleet {
 public:
  explicit share_fleet(bool spent_memory = true, milliseconds assumed_duration = turn_duration)
      : rows_{std::make_shared<memory_row_store>(loop_)} {
    settings_.spent_memory_ = spent_memory;
    settings_.initial_turn_duration_ = assumed_duration;
    for (auto number = 0; number < 3; ++number) {
      start_daemon(number);
    }
  }

  /// Starts a daemon, or replaces it by a new incarnation without state.
  auto start_daemon(int number) -> void {
    auto settings = settings_;
    settings.daemon_ = "vm-" + std::to_string(number) + "@" + std::to_string(++incarnations_);
    auto created = value(program_store::create(loop_, rows_, settings));
    created->set_budget_peers(std::make_shared<lease_peers>(*this));
    by_name_[settings.daemon_] = created;
    daemons_[number] = created;
  }

  auto begin(int daemon, const std::string& turn, const std::string& previous, std::int64_t budget,
             std::int64_t max_tokens = turn_limit) -> result<turn_grant> {
    auto order = turn_request{"p", turn, previous, budget, max_tokens, "in"};
    return run_to_end(loop_, daemons_.at(daemon)->begin_turn(std::move(order), time_left));
  }

  auto end(int daemon, const std::string& turn, const std::string& previous, const turn_grant& grant,
           std::int64_t budget, std::int64_t tokens, std::int64_t max_tokens = turn_limit) -> status {
    return run_to_end(loop_, daemons_.at(daemon)->end_turn(
                                 completion(turn, previous, grant, budget, tokens, max_tokens), time_left));
  }

  static auto completion(const std::string& turn, const std::string& previous, const turn_grant& grant,
                         std::int64_t budget, std::int64_t tokens, std::int64_t max_tokens)
      -> turn_completion {
    auto ended = turn_completion{"p", turn, grant.reservation_, tokens, max_tokens, budget, 0, std::nullopt};
    ended.record_ = turn_record{previous, "in", "out", "engine-1"};
    return ended;
  }

  /// Runs a complete turn.
  auto turn(int daemon, const std::string& name, const std::string& previous, std::int64_t budget,
            std::int64_t tokens) -> void {
    auto granted = begin(daemon, name, previous, budget);
    REQUIRE(ok(granted));
    REQUIRE(ok(end(daemon, name, previous, value(granted), budget, tokens)));
  }

  /// Runs a turn that takes `duration` ms. Adds its tokens to delivered_ if it is served.
  auto run_turn(int daemon, std::string name, std::int64_t budget, std::int64_t tokens, milliseconds duration)
      -> task<> {
    auto order = turn_request{"p", name, "t1", budget, turn_limit, "in"};
    auto store = daemons_.at(daemon);
    auto granted = co_await store->begin_turn(std::move(order), time_left);
    if (ok(granted)) {
      co_await pause_for(loop_, duration);
      auto ended = completion(name, "t1", value(granted), budget, tokens, turn_limit);
      auto settled = co_await store->end_turn(std::move(ended), time_left);
      served_ += ok(settled) ? 1 : 0;
      delivered_ += tokens;
    } else {
      failures_.push_back(failure(granted));
    }
    ++finished_;
  }

  /// Delivers the reports of each daemon to all others.
  auto exchange_reports() -> void {
    for (const auto& [number, daemon] : daemons_) {
      auto reports = daemon->next_spent_reports();
      for (const auto& [other, receiver] : daemons_) {
        if (other != number) {
          receiver->record_spent_reports(reports);
        }
      }
    }
  }

  [[nodiscard]] auto store_calls() const -> int { return rows_->commits() + rows_->reads(); }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  program_store_settings settings_;
  std::map<int, std::shared_ptr<program_store>> daemons_;
  std::map<std::string, std::shared_ptr<program_store>> by_name_;  ///< Includes lost incarnations.
  std::vector<std::string> lease_holders_asked_;
  bool holders_respond_ = true;
  int served_ = 0;
  int finished_ = 0;
  std::int64_t delivered_ = 0;
  std::vector<error> failures_;

 private:
  int incarnations_ = 0;
};

inline auto lease_peers::request_lease(std::string program_key, std::string reservation, std::string holder)
    -> task<bool> {
  fleet_->lease_holders_asked_.push_back(holder);
  if (!fleet_->holders_respond_) {
    co_await pause_for(fleet_->loop_, lease_timeout);
    co_return false;
  }
  co_await pause_for(fleet_->loop_, 1);
  auto found = fleet_->by_name_.find(holder);
  co_return found != fleet_->by_name_.end() && found->second->transfer_lease(program_key, reservation);
}

inline auto code_of(const result<turn_grant>& granted) -> error_code {
  REQUIRE(!ok(granted));
  return failure(granted).code_;
}

}  // namespace birchlever

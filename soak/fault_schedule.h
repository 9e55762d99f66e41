/// Seeded series of faults and of planned work, which overlap.
#pragma once

#include <random>

#include "soak/process_faults.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"

namespace birchlever::soak {

/// Kinds of faults that the schedule draws from.
enum class fault_kind {
  store_link,
  store_down,
  store_late,
  store_answers_lost,
  history_gone,
  gateway_killed,
  gateway_paused,
  herd_killed,
  upstream_faulty,
  connections_silent,  ///< Open connections to the store and to upstreams go silent for good; new ones work.
};

/// The stable name of a kind.
[[nodiscard]] auto name_of(fault_kind kind) -> const char*;

/// For the soak's one loop.
class fault_schedule {
 public:
  fault_schedule(event_loop& loop, const soak_settings& settings, soak_fleet& fleet, soak_ledger& ledger);

  /// Draws faults for so long; yields when all have ended. Where the fault set says so, configurations change
  /// meanwhile.
  auto harm(milliseconds duration, soak_callers& callers) -> task<>;

  /// Planned work without faults beside it: a change of configuration, a leaving upstream, a stop, a reload.
  auto plan(soak_callers& callers) -> task<>;

  /// Kills all gateways at once and starts them again.
  auto kill_all() -> task<>;

  /// True when no fault was there from the bound's calm time before `since` until now.
  [[nodiscard]] auto calm_since(milliseconds since) const -> bool;

 private:
  auto draw(int most) -> int { return std::uniform_int_distribution<int>{0, most}(random_); }
  auto some_gateways() -> std::vector<int>;
  auto draw_kind() -> fault_kind;
  auto draw_gap() -> milliseconds;
  auto run_fault(fault_kind kind) -> task<>;
  auto harm_processes(milliseconds until) -> task<>;
  auto harm_responses(milliseconds until) -> task<>;
  auto run_process_fault() -> task<>;
  auto harm_links(milliseconds duration) -> task<>;
  auto kill_some(std::vector<int> numbers) -> task<>;
  auto pause_one(milliseconds duration) -> task<>;
  auto spoil_upstream(milliseconds duration) -> task<>;
  auto silence_connections() -> void;
  auto change_configuration(soak_callers& callers) -> task<>;
  auto change_configurations(milliseconds until, soak_callers& callers) -> task<>;
  /// Asks every gateway for the newest route of a version until `until`, and records a broken promise if one
  /// does not know it although no fault was there during the calm time before the request.
  auto check_in_force(int version, milliseconds changed_at, milliseconds until, soak_callers& callers)
      -> task<>;
  auto ask_for_route(int version, milliseconds changed_at, int gateway, soak_callers& callers) -> task<>;
  auto leave_upstream() -> task<>;
  auto stop_gateway(int number) -> task<>;

  event_loop* loop_;
  soak_settings settings_;
  soak_fleet* fleet_;
  soak_ledger* ledger_;
  std::mt19937_64 random_;
  std::mt19937_64 response_random_;  ///< Apart, so that the other draws of a seed stay as they are.
  process_faults process_faults_;
  steady_clock clock_;
  int active_ = 0;
  int checks_ = 0;  ///< Checks of configurations that have not ended.
  milliseconds last_fault_at_ = 0;
  int version_ = 1;
};

}  // namespace birchlever::soak

/// Seeded faults of what a process stands on: signals, its settings file, its ports, what callers make it
/// hold.
#pragma once

#include <random>
#include <string>

#include "soak/soak_fleet.h"

namespace birchlever::soak {

/// Kinds of such faults.
enum class process_fault {
  signal_series,      ///< Signals that do not ask for a stop, many within milliseconds.
  settings_in_parts,  ///< The settings file is cut for a while, and SIGHUP comes meanwhile.
  port_held,          ///< Killed, and started while another process still holds one of its ports.
  bodies_unfinished   ///< Callers send most of a large body and then nothing.
};

/// For the soak's one loop.
class process_faults {
 public:
  process_faults(event_loop& loop, const soak_settings& settings, soak_fleet& fleet);

  /// Draws a fault and yields when it is over.
  auto run_one() -> task<>;

  /// Draws the pause until the next one begins; faults overlap.
  auto draw_gap() -> milliseconds;

 private:
  auto draw(int most) -> int { return std::uniform_int_distribution<int>{0, most}(random_); }
  auto send_signals(int gateway) -> task<>;
  auto cut_settings(int gateway) -> task<>;
  auto restart_on_held_port(int gateway) -> task<>;
  auto hold_bodies(int gateway) -> task<>;
  auto hold_body(int gateway, std::size_t bytes, milliseconds duration) -> task<>;

  event_loop* loop_;
  soak_settings settings_;
  soak_fleet* fleet_;
  std::mt19937_64 random_;
  std::string body_;
};

}  // namespace birchlever::soak

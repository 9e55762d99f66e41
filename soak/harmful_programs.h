/// Callers whose requests end the upstreams that run them, repeated as the platform's clients do.
#pragma once

#include <random>
#include <string>

#include "birchlever/http/http_message.h"
#include "soak/soak_fleet.h"

namespace birchlever::soak {

/// For the soak's one loop. Uses a random generator of its own, so that other faults and load of a seed stay
/// as they are without it.
class harmful_programs {
 public:
  harmful_programs(event_loop& loop, const soak_settings& settings, soak_fleet& fleet, soak_ledger& ledger);

  /// Sends one harmful request after the other until stopped.
  auto run() -> task<>;

  auto stop() -> void { stopped_ = true; }
  [[nodiscard]] auto running() const -> bool { return running_; }

 private:
  auto repeat(int number) -> task<>;
  auto send(http_request request, int gateway) -> task<int>;
  auto draw(int most) -> int { return std::uniform_int_distribution<int>{0, most}(random_); }

  event_loop* loop_;
  soak_settings settings_;
  soak_fleet* fleet_;
  soak_ledger* ledger_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  bool running_ = false;
};

}  // namespace birchlever::soak

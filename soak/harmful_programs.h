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

  /// Starts to send harmful requests, one after the other or some at once, until stopped.
  auto start_lines() -> void;

  auto stop() -> void { stopped_ = true; }
  [[nodiscard]] auto running() const -> bool { return running_ > 0; }

 private:
  /// What all attempts of one harmful request have in common.
  struct harmful_work {
    std::string text_;
    std::string path_;
    int number_ = 0;
    harmful_form form_ = harmful_form::closes;
    bool in_program_ = true;
    bool same_program_ = true;
    milliseconds patience_ = 0;  ///< After which its callers leave, in ms.
  };

  /// Sends every `lines`-th harmful request, beginning with number `line`.
  auto run(int line, int lines) -> task<>;
  auto draw_work(int number) -> harmful_work;
  auto repeat(harmful_work work) -> task<>;
  [[nodiscard]] auto make_request(const harmful_work& work, int attempt) const -> http_request;
  auto send(http_request request, int gateway, milliseconds patience) -> task<int>;
  auto draw(int most) -> int { return std::uniform_int_distribution<int>{0, most}(random_); }

  event_loop* loop_;
  soak_settings settings_;
  soak_fleet* fleet_;
  soak_ledger* ledger_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  int running_ = 0;  ///< Lines.
};

}  // namespace birchlever::soak

/// All daemons of the model, and what they tell each other, with the product's own gaps and numbers of
/// receivers.
#pragma once

#include <memory>
#include <vector>

#include "birchlever/controllers/peer_exchange.h"
#include "fleet_model/model_daemon.h"
#include "fleet_model/model_program.h"
#include "fleet_model/upstream_park.h"

namespace birchlever::model {

/// ms one way between any two processes.
inline constexpr auto way_ms = 1.5;

/// ms between two looks of a daemon at its views, as in the daemon itself.
inline constexpr auto look_gap_ms = 100.0;

/// Daemons by number. Begins to talk at once.
class daemon_group {
 public:
  daemon_group(const load_pattern& pattern, const upstream_park& upstreams, event_queue& events,
               program_source& source, bool learn_speeds = false);

  [[nodiscard]] auto all() const -> const std::vector<std::unique_ptr<model_daemon>>& { return daemons_; }

  [[nodiscard]] auto at(int index) -> model_daemon& { return *daemons_[static_cast<std::size_t>(index)]; }

  /// A daemon drawn by chance.
  auto some() -> int;

  /// Cuts a share of the daemons from all upstreams; 0 heals all.
  auto cut(double share) -> void;

 private:
  auto say(int speaker) -> void;
  auto tell(int speaker, const upstream_health_report& news) -> void;
  auto send_news(int speaker) -> void;
  auto look(int index) -> void;

  event_queue* events_;
  program_source* source_;
  peer_exchange_settings exchange_;
  std::vector<std::unique_ptr<model_daemon>> daemons_;
};

}  // namespace birchlever::model

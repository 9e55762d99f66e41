/// One daemon of the model: the product's own directory, policies' inputs and views of peers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/controllers/peer_views.h"
#include "birchlever/upstream/upstream_directory.h"
#include "fleet_model/event_queue.h"

namespace birchlever::model {

/// A daemon's state. What it learns of upstreams waits in `untold_` for its next news.
struct model_daemon {
  model_daemon(std::string vm, const std::string& hall, std::uint64_t seed, milliseconds fresh,
               const event_queue& events, bool learn_speeds = false)
      : vm_{std::move(vm)},
        directory_{directory_settings(hall, seed, events, learn_speeds)},
        views_{vm_, fresh, events.clock()} {}

  /// What it says of itself.
  [[nodiscard]] auto describe() -> peer_state {
    auto said = peer_state{};
    said.vm_ = vm_;
    directory_.each([&](const upstream& one) {
      if (one.running() > 0) {
        said.running_[one.entry().id_] = one.running();
      }
    });
    said.speeds_ = directory_.speed_reports();
    return said;
  }

  /// Brings the directory up to what peers said.
  auto take_views() -> void {
    directory_.set_running_elsewhere(views_.running_elsewhere());
    for (const auto& speeds : views_.take_speeds()) {
      directory_.apply_speed_reports(speeds.vm_, speeds.reports_);
    }
  }

  std::string vm_;
  upstream_directory directory_;
  peer_views views_;
  std::vector<upstream_health_report> untold_;
  bool telling_ = false;
  double told_at_ms_ = 0;
  bool cut_ = false;  ///< Reaches no upstream.

 private:
  static auto directory_settings(const std::string& hall, std::uint64_t seed, const event_queue& events,
                                 bool learn_speeds) -> upstream_directory_settings {
    auto settings = upstream_directory_settings{};
    settings.data_hall_ = hall;
    settings.jitter_seed_ = seed;
    settings.clock_ = events.clock();
    settings.learn_speeds_ = learn_speeds;
    return settings;
  }
};

}  // namespace birchlever::model

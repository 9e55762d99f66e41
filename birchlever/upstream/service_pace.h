/// The durations that this daemon observes at a service's upstreams, as references for single observations.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "birchlever/upstream/upstream_speed.h"

namespace birchlever {

/// Settings of service_pace.
struct service_pace_settings {
  std::size_t window_ = 21;          ///< Samples of one kind that determine its reference.
  std::size_t min_samples_ = 8;      ///< Required for a reference.
  std::size_t min_upstreams_ = 3;    ///< Upstreams that must have contributed, or
  std::size_t settled_window_ = 16;  ///< the number of samples with which two suffice.
  double precise_ = 0.15;            ///< Median deviation, as a logarithm, at which an observation has half
                                     ///< the weight of an exact one.
};

/// Compares durations of one service with the median of those of the same kind that this daemon observed at
/// all of the service's upstreams. A slow link of this daemon affects all of its observations alike and
/// therefore none of the ratios, once half of the window was observed through it. Has no I/O.
class service_pace {
 public:
  explicit service_pace(const service_pace_settings& settings = {}) : settings_{settings} {}

  /// Returns the observation for a duration in ms; none while there is no reference. `kind` names what was
  /// measured; `nominal` is the duration in any unit that is proportional to the work.
  [[nodiscard]] auto compare(const std::string& kind, double duration, double nominal) const
      -> std::optional<speed_observation>;

  /// Adds a duration to the reference. `log_slowness` is the estimate for the upstream.
  auto record(const std::string& kind, double duration, double nominal, double log_slowness,
              const std::string& upstream) -> void;

 private:
  struct sample {
    double level_ = 0;  ///< Logarithm of duration per nominal, less the upstream's slowness.
    std::string upstream_;
  };

  /// The reference of one kind.
  struct reference {
    std::deque<sample> samples_;
    double level_ = 0;      ///< Median.
    double deviation_ = 0;  ///< Median of the absolute deviations from it.
    bool known_ = false;
  };

  auto update(reference& changed) const -> void;

  service_pace_settings settings_;
  std::map<std::string, reference> references_;
};

}  // namespace birchlever

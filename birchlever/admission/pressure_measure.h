/// This daemon's own measure of the shortage of the store's writes and of upstreams.
///
/// A shortage is proven by waits or refusals. A high number of running requests only qualifies these:
/// refusals of single full upstreams while the service has free slots are a matter of placement.
#pragma once

#include <map>
#include <string>

#include "birchlever/admission/decaying_rate.h"
#include "birchlever/admission/pressure_report.h"
#include "birchlever/upstream/service_load.h"

namespace birchlever {

/// Observations at one moment. Counters are cumulative.
struct pressure_sample {
  milliseconds write_wait_ = 0;  ///< Expected wait of a new program's first write, in ms.
  std::int64_t writes_ = 0;
  std::int64_t throttled_ = 0;
  std::map<std::string, service_load> services_;  ///< By name; empty if not sampled this time.
  double visible_share_ = 1;  ///< Fraction of the other daemons whose running requests are known.
};

/// Settings of pressure_measure.
struct pressure_measure_settings {
  double wait_window_ms_ = 300;        ///< Averaging of waits. Two peer messages; shorter than any program.
  double refusal_window_ms_ = 500;     ///< Averaging of refusals.
  double response_window_ms_ = 1000;   ///< Averaging of recent response times.
  double usual_window_ms_ = 30000;     ///< Averaging of the usual response times.
  double served_window_ms_ = 1000;     ///< Averaging of the throughput; about the duration of a program.
  double program_window_ms_ = 60000;   ///< Averaging of the number of turns per program; much longer than a
                                       ///< program, so that a burst of new programs changes it only slightly.
  double usual_max_occupancy_ = 0.8;   ///< Response times at a higher occupancy are not usual.
  double free_occupancy_ = 0.75;       ///< Occupancy below which refusals show no shortage of a service.
  double full_occupancy_ = 0.95;       ///< Occupancy from which refusals count in full.
  double full_refused_share_ = 0.3;    ///< Refused fraction at which a service has no free capacity. At most
                                       ///< six attempts per request leave fewer than 1 in 1,000 unserved.
  double refused_prior_ = 4;           ///< Unrefused attempts assumed in addition to the observed ones.
  double full_waiting_share_ = 0.5;    ///< Waiting requests per slot at which no capacity is free.
  double full_response_increase_ = 1;  ///< Likewise the increase of the response time relative to the usual
                                       ///< one. Deadlines allow for twice the duration on idle upstreams.
};

/// Deterministic in the samples, events and times. Not thread safe.
class pressure_measure {
 public:
  explicit pressure_measure(const pressure_measure_settings& settings = {});

  /// Records a sample. Call several times per second.
  auto record_sample(const pressure_sample& sample, milliseconds now) -> void;

  /// Records a turn of a program with stored history that is passed on to be served.
  auto record_turn(const std::string& route, bool first, milliseconds now) -> void;

  /// Returns the mean number of turns per program of a route.
  [[nodiscard]] auto expected_turns(const std::string& route, milliseconds now) const -> double;

  /// Records a completed turn.
  auto record_served(milliseconds now) -> void;

  [[nodiscard]] auto report(milliseconds now) const -> pressure_report;

  /// Returns the service that is worst off, or an empty string if none is short.
  [[nodiscard]] auto worst_service() const -> const std::string& { return worst_service_; }

 private:
  /// Averages of one service.
  struct service_average {
    explicit service_average(const pressure_measure_settings& settings)
        : finished_{settings.refusal_window_ms_},
          refused_{settings.refusal_window_ms_},
          responses_{settings.response_window_ms_},
          response_ms_{settings.response_window_ms_} {}

    service_load last_;
    decaying_rate finished_;
    decaying_rate refused_;
    decaying_rate responses_;
    decaying_rate response_ms_;
    double usual_ms_ = 0;  ///< Usual response time; 0 if unknown.
    milliseconds usual_at_ = 0;
  };

  auto record_service(service_average& average, const service_load& load, double visible_share,
                      milliseconds now) -> double;
  [[nodiscard]] auto refusal_pressure(const service_average& average, double occupancy,
                                      milliseconds now) const -> double;
  /// Turns of the programs of one route.
  struct route_turns {
    explicit route_turns(double window_ms) : first_{window_ms}, all_{window_ms} {}

    decaying_rate first_;
    decaying_rate all_;
  };

  [[nodiscard]] auto wait_pressure(const service_average& average, double occupancy, milliseconds now) const
      -> double;

  pressure_measure_settings settings_;
  std::int64_t writes_seen_ = 0;
  std::int64_t throttled_seen_ = 0;
  milliseconds sampled_at_ = 0;
  double write_wait_ms_ = 0;
  double upstreams_ = 0;
  std::string worst_service_;
  decaying_rate writes_;
  decaying_rate throttled_;
  decaying_rate served_;
  decaying_rate first_turns_;
  decaying_rate turns_;
  std::map<std::string, service_average> services_;
  std::map<std::string, route_turns> routes_;
};

}  // namespace birchlever

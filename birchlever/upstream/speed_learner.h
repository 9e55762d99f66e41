/// Learns the speeds of upstreams from this daemon's requests and from reports of peers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/upstream/request_progress.h"
#include "birchlever/upstream/service_pace.h"
#include "birchlever/upstream/speed_report.h"
#include "birchlever/upstream/upstream.h"

namespace birchlever {

/// The estimates are part of each upstream. Not thread-safe; use from one event loop.
class speed_learner {
 public:
  explicit speed_learner(std::shared_ptr<const clock_interface> clock) : clock_{std::move(clock)} {}

  /// Adds a listed upstream.
  auto add(const upstream_pointer& target) -> void;

  /// Removes an upstream that is no longer listed.
  auto remove(const upstream& target) -> void;

  /// Starts to observe a request that this daemon has in flight at the upstream, from now on.
  auto track(upstream& target, request_progress progress) -> std::shared_ptr<request_progress>;

  /// Restarts the time of a request whose transmission was delayed until now, such as by connecting.
  auto record_sent(request_progress& progress) const -> void;

  /// Records tokens of a stream that arrived now.
  auto record_tokens(upstream& target, request_progress& progress, double tokens) -> void;

  /// Ends the observation of a request. `complete` says that the whole response arrived successfully.
  auto record_end(upstream& target, request_progress& progress, bool complete) -> void;

  /// Observes requests that have been waiting for longer than expected. Do not call while the local link may
  /// be the cause.
  auto record_pending(upstream& target) -> void;

  /// Returns the rows for the next message: recently observed upstreams, those with changed speeds first.
  [[nodiscard]] auto reports() -> std::vector<speed_report>;

  /// Applies the rows of a peer's message.
  auto apply(const std::string& peer, const std::vector<speed_report>& reports) -> void;

  /// Returns the slowness for decisions. Values close to the mean of the service are returned as 1.
  [[nodiscard]] auto slowness(const upstream& target) const -> double;

  /// Returns the weight of the observations behind it.
  [[nodiscard]] auto confidence(const upstream& target) const -> double;

  [[nodiscard]] auto statistics() const -> const speed_statistics& { return statistics_; }

 private:
  /// What an observation was made from, for logs.
  enum class observation_source { first_event, tokens, response, pending, peer };

  static auto name_of(observation_source source) -> const char*;
  auto observe(upstream& target, const std::string& kind, double duration, double nominal, double share,
               observation_source source) -> void;
  auto observe_pending(upstream& target, request_progress& progress) -> void;
  auto observe_window(upstream& target, request_progress& progress) -> void;
  auto apply_observation(upstream& target, const speed_observation& observation, observation_source source)
      -> void;
  auto log_change(upstream& target, const speed_observation& observation, observation_source source) -> void;
  auto refresh_means() -> void;
  auto update_distinct(upstream& target, bool confirmed) -> void;

  /// Returns the logarithm of the slowness relative to the mean of the service.
  [[nodiscard]] auto relative_log(const upstream& target) const -> double;
  [[nodiscard]] static auto load_factor(const upstream& target) -> double;

  std::shared_ptr<const clock_interface> clock_;
  std::unordered_map<std::uint32_t, upstream_pointer> by_incarnation_;
  std::map<std::string, service_pace> paces_;        ///< By service.
  std::map<std::string, double> means_;              ///< Mean logarithm of the slowness, by service.
  std::vector<std::weak_ptr<upstream>> measured_;    ///< With an estimate.
  std::vector<std::weak_ptr<upstream>> own_recent_;  ///< Recently observed by this daemon.
  milliseconds means_refreshed_at_ = 0;
  milliseconds logging_since_ = 0;  ///< Start of the interval in which log lines are counted.
  int logged_ = 0;                  ///< Notable changes in that interval.
  speed_statistics statistics_;
};

}  // namespace birchlever

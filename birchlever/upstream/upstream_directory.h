/// Directory of the upstreams known to this daemon, and selection of one for each request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/policy/policy_interface.h"
#include "birchlever/upstream/hall_regions.h"
#include "birchlever/upstream/local_link.h"
#include "birchlever/upstream/service_load.h"
#include "birchlever/upstream/shared_prefixes.h"
#include "birchlever/upstream/speed_report.h"
#include "birchlever/upstream/upstream_pool.h"

namespace birchlever {

class speed_learner;
struct request_progress;

/// Outcome of a request as far as it concerns the upstream's health.
enum class upstream_outcome { served, full, failed, none };

/// Requirements of a request on its upstream.
struct upstream_criteria {
  std::string service_;
  std::string model_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t max_tokens_ = 0;
  std::vector<prompt_part> parts_;
  std::string program_;        ///< Program of the request; empty if it belongs to none.
  std::string last_upstream_;  ///< Incarnation that ran the previous turn; empty if there is none.
  std::string affinity_key_;   ///< Requests with equal keys prefer the same upstream on all daemons; empty if
                               ///< the upstream of the previous turn is known.
  int max_local_in_flight_ = 0;      ///< In-flight requests at which an upstream is full; 0 for no limit.
  std::int64_t cache_capacity_ = 0;  ///< Engine cache capacity in tokens; 0 without a cache.
  std::set<std::string> excluded_;   ///< Ids of upstreams that refused or failed this request.
  region_constraint regions_;        ///< Regions that may serve the request.
  cold_start_limit cold_start_;      ///< Limit for recently started upstreams.
  std::uint64_t seed_ = 0;
};

/// A selected upstream, with details for logging.
struct upstream_choice {
  upstream_pointer chosen_;
  std::size_t candidates_ = 0;
  std::size_t avoided_ = 0;  ///< Upstreams left out because a crash is to be expected there.
  std::int64_t cached_tokens_ = 0;
};

/// Settings of upstream_directory.
struct upstream_directory_settings {
  std::string data_hall_;          ///< Data hall of this daemon.
  std::uint64_t jitter_seed_ = 0;  ///< Differs between daemons.
  hall_regions regions_;
  upstream_health_settings health_;
  upstream_pool_settings pools_;
  double min_healthy_share_ = 0.25;  ///< If fewer than this fraction of the candidates are healthy, avoided
                                     ///< ones are used too, to prevent overload of the remaining ones.
  bool learn_speeds_ = false;        ///< Estimates the speeds of upstreams and considers them in choices.
  milliseconds full_duration_ = 60;  ///< Time for which an upstream counts as full after a refusal, in ms.
  std::shared_ptr<const clock_interface> clock_ = std::make_shared<steady_clock>();
};

/// Change of an upstream's health, exchanged between daemons.
struct upstream_health_report {
  std::string id_;
  bool failed_ = false;    ///< False if it serves requests again.
  std::int64_t born_ = 0;  ///< Start time that identifies its incarnation.
};

/// Not thread-safe; use from one event loop.
class upstream_directory {
 public:
  explicit upstream_directory(upstream_directory_settings settings);

  /// Adds or updates an upstream. Entries of an earlier incarnation are ignored; a later incarnation replaces
  /// the upstream and discards its state. `announced` controls whether an added upstream is logged; disable
  /// it when loading a full list.
  auto put(upstream_entry entry, bool announced = true) -> void;

  /// Removes an upstream that is no longer listed.
  auto remove(const std::string& id) -> void;

  /// Sets the closed data halls, whose upstreams get no requests. Replaces the previous set.
  auto close_halls(std::set<std::string> halls) -> void;

  [[nodiscard]] auto size() const -> std::size_t { return upstreams_.size(); }

  [[nodiscard]] auto ids() const -> std::vector<std::string>;

  /// Returns the upstream with an id, or null.
  [[nodiscard]] auto find(const std::string& id) const -> upstream_pointer;

  /// Returns the listed upstream at an address, or null. While entries of several are listed, as after a
  /// restart under another id, it is the one added last.
  [[nodiscard]] auto find_at(const boost::asio::ip::tcp::endpoint& address) const -> upstream_pointer;

  /// Selects an upstream with the policy. Failures: no_upstream.
  auto choose(const policy_interface& policy, const upstream_criteria& criteria) -> result<upstream_choice>;

  using health_report_function = std::function<void(const upstream_health_report&)>;

  /// Sets the callback for health changes that peers should be notified of.
  auto on_health_report(health_report_function callback) -> void { on_health_report_ = std::move(callback); }

  using connection_check_function = std::function<bool(const boost::asio::ip::tcp::endpoint&)>;

  /// Sets the function that checks whether an idle pooled connection to an address is available.
  auto set_connection_check(connection_check_function callback) -> void {
    connection_check_ = std::move(callback);
  }

  /// Applies a health report of a peer.
  auto apply_peer_report(const std::string& peer, const upstream_health_report& report) -> void;

  /// Detects upstreams that have stopped responding. Call several times per second.
  auto detect_stalled() -> void;

  /// Records that a request is sent. Returns the send time, which identifies the request in later calls.
  auto record_sent(upstream& target, const upstream_criteria& criteria) -> milliseconds;

  /// Records that the response to the request sent at `sent_at` has started.
  auto record_response_started(upstream& target, milliseconds sent_at) -> void;

  /// Records that the upstream's own incarnation responded to something sent at `sent_at`.
  auto record_alive(upstream& target, milliseconds sent_at) -> void;

  /// Records the outcome of the request sent at `sent_at`.
  auto record_finished(upstream& target, milliseconds sent_at, upstream_outcome outcome) -> void;

  /// Starts to observe a request after `record_sent`. Returns null if speeds are not learned; the functions
  /// below then do nothing.
  auto track(upstream& target, request_progress progress) -> std::shared_ptr<request_progress>;

  /// Records that the request is being sent now. Call again if connecting delayed it.
  auto record_transmission(const std::shared_ptr<request_progress>& progress) -> void;

  /// Records tokens of a stream that arrived now. `blocked` is the time in ms since the previous call during
  /// which the caller did not accept data.
  auto record_tokens(upstream& target, const std::shared_ptr<request_progress>& progress, double tokens,
                     milliseconds blocked) -> void;

  /// Ends the observation of a request. `complete` says that the whole response arrived successfully.
  auto record_end(upstream& target, const std::shared_ptr<request_progress>& progress, bool complete) -> void;

  /// Observes requests that take longer than expected. Call several times per second.
  auto detect_slow() -> void;

  /// Returns the rows about speeds for the next message to peers.
  [[nodiscard]] auto speed_reports() -> std::vector<speed_report>;

  /// Applies rows about speeds of a peer.
  auto apply_speed_reports(const std::string& peer, const std::vector<speed_report>& reports) -> void;

  /// Returns the slowness of an upstream as considered in choices; 1 is the mean of its service.
  [[nodiscard]] auto slowness_of(const upstream& target) const -> double;

  /// Returns counts of observations.
  [[nodiscard]] auto speed_counts() const -> speed_statistics;

  /// Sets the number of requests that other daemons report in flight at an upstream.
  auto set_running_elsewhere(const std::string& id, double running) -> void;

  /// Sets the numbers for all upstreams; those not contained have none.
  auto set_running_elsewhere(const std::unordered_map<std::string, double>& running) -> void;

  /// Returns the load of the services, by name. Visits all upstreams.
  [[nodiscard]] auto service_loads() const -> std::map<std::string, service_load>;

  /// Calls `visit` for each listed upstream.
  auto each(const std::function<void(const upstream&)>& visit) const -> void;

  /// Calls `visit` for each upstream with requests of this daemon in flight, listed or not.
  auto each_busy(const std::function<void(const upstream&)>& visit) const -> void;

 private:
  /// Candidates for a request. The first `healthy_count_` of them are not avoided.
  struct candidate_list {
    std::vector<upstream_pointer> usable_;
    std::size_t healthy_count_ = 0;
  };

  auto insert(upstream_entry entry, bool announced) -> void;
  auto change(const upstream_pointer& existing, upstream_entry entry) -> void;
  auto drop(const upstream_pointer& target) -> void;
  auto forget_address(const upstream_pointer& target) -> void;
  auto update_cold_until(upstream& target) const -> void;
  auto candidates(const upstream_criteria& criteria) -> candidate_list;
  auto usable(const upstream& target, const upstream_criteria& criteria, milliseconds now) const -> bool;
  auto estimate_cached_tokens(const upstream_pointer& target, const upstream_criteria& criteria,
                              std::int64_t shared, const upstream_pointer& affinity,
                              const upstream_pointer& previous) const -> std::int64_t;
  /// Returns the expected number of prompt tokens cached by every engine of the service.
  [[nodiscard]] auto shared_prefix_tokens(const upstream_criteria& criteria) const -> std::int64_t;
  /// Returns the usable upstream with the highest rendezvous weight for the affinity key, or null.
  auto affinity_upstream(const upstream_criteria& criteria, const upstream_pool& pool) const
      -> upstream_pointer;
  /// Returns the upstream that ran the previous turn if the same incarnation is still listed; else null.
  auto previous_upstream(const upstream_criteria& criteria) const -> upstream_pointer;
  auto view_of(const upstream& target, const upstream_criteria& criteria) const -> engine_view;
  auto report_health(const upstream& target, bool failed) -> void;
  auto remove_busy(const upstream& target) -> void;
  auto handle_success(upstream& target, milliseconds now) -> void;
  auto handle_failure(upstream& target, milliseconds sent_at, milliseconds now) -> void;
  auto clear_unanswered_failures() -> void;
  static auto log_avoided(const upstream& target, const char* cause, milliseconds now) -> void;

  upstream_directory_settings settings_;
  std::shared_ptr<speed_learner> speeds_;  ///< Null if speeds are not learned.
  local_link link_;
  bool link_faulty_ = false;  ///< The link is considered faulty until an upstream responds.
  std::map<std::string, shared_prefixes> shared_prefixes_;       ///< By service.
  std::unordered_map<std::string, upstream_pointer> upstreams_;  ///< By id.
  std::map<boost::asio::ip::tcp::endpoint, upstream_pointer> by_address_;
  std::map<std::string, upstream_pool> pools_;    ///< By service.
  std::vector<upstream_pointer> busy_;            ///< With requests of this daemon in flight.
  std::vector<upstream_pointer> busy_elsewhere_;  ///< With requests of other daemons in flight.
  std::map<std::string, service_load> counters_;  ///< By service; only its counters are set.
  std::set<std::string> closed_halls_;
  health_report_function on_health_report_;
  connection_check_function connection_check_;
};

}  // namespace birchlever

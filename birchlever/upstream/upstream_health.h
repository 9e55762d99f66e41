/// Passive health tracking of an upstream, based on the outcomes of real requests, since health checks may
/// report the wrong state either way.
///
/// Consecutive failures of this daemon and its peers add up, weighted by their source; any success resets
/// them, so sporadic failures do not lead to avoidance. An avoided upstream is probed with a real request
/// after the avoidance time, which doubles with each further failure.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/upstream/local_link.h"

namespace birchlever {

/// Settings of upstream_health. Times in ms.
struct upstream_health_settings {
  int avoidance_weight_ = 3;  ///< Total weight of failures at which the upstream is avoided: two local ones,
                              ///< a local one and a peer's, or three peers'. In fleets of hundreds, two
                              ///< failures coincide by chance: at 8 requests/s with one response in twenty
                              ///< lost, every 8 s at each upstream.
  int local_weight_ = 2;      ///< Weight of a failure of this daemon; a peer's has weight 1.
  milliseconds initial_avoidance_ = 500;  ///< Initial avoidance time; most resets are over by then.
  /// Upper limit of the avoidance time; upstreams that flap are down for one or two seconds.
  milliseconds max_avoidance_ = 8000;
  milliseconds reset_after_ = 1500;    ///< Time without failures that resets the weight, or twice the latest
                                       ///< avoidance if that is longer.
  milliseconds stall_timeout_ = 1500;  ///< Time without responses to pending requests after which the
                                       ///< upstream is stalled; callers close a silent stream after 2 s.
};

/// Not thread-safe; use from one event loop.
class upstream_health {
 public:
  /// `jitter`, 0 to 1, differs between daemons, so that they do not all probe an upstream at the same time.
  explicit upstream_health(const upstream_health_settings& settings = {}, double jitter = 0.5)
      : settings_{settings}, jitter_{jitter} {}

  /// Records a failed request of this daemon. Ignored if the local link is faulty. Returns true if the
  /// upstream becomes avoided.
  auto record_failure(milliseconds now, link_status link = link_status::healthy) -> bool;

  /// Records a failure reported by a peer. Before the first avoidance each peer counts once. Returns true if
  /// the upstream becomes avoided.
  auto record_peer_failure(const std::string& peer, milliseconds now) -> bool;

  /// Records a success of this daemon or a peer. Returns true if the upstream had been avoided.
  auto record_success() -> bool;

  /// Clears all failures, such as those found to be caused by the local link.
  auto clear_failures() -> void;

  /// Returns true if one more failure of this daemon would cause avoidance; a success is then reported to
  /// peers.
  [[nodiscard]] auto suspected(milliseconds now) const -> bool;

  /// Records a request whose response is pending.
  auto record_sent(milliseconds now) -> void { pending_.insert(now); }

  /// Records the start of the response to the request sent at `sent_at`.
  auto record_response(milliseconds sent_at, milliseconds now) -> void;

  /// Removes the pending request sent at `sent_at`, if any.
  auto remove_pending(milliseconds sent_at) -> void;

  /// Returns true, and avoids the upstream, if a request sent at or after `link_healthy_since` is pending and
  /// no response arrived within the stall timeout. Returns false while the upstream is avoided.
  auto detect_stall(milliseconds now, milliseconds link_healthy_since = 0) -> bool;

  [[nodiscard]] auto avoided(milliseconds now) const -> bool { return avoid_until_ > now; }
  [[nodiscard]] auto avoid_until() const -> milliseconds { return avoid_until_; }

  /// Returns when a response last started; 0 if none did.
  [[nodiscard]] auto last_response_at() const -> milliseconds { return last_response_at_; }

  /// Records that this incarnation, and no other process at its address, responded to a request sent at
  /// `sent_at`.
  auto record_alive(milliseconds sent_at) -> void { alive_at_ = std::max(alive_at_, sent_at); }

  /// Returns a time at which this incarnation was certainly running; 0 if none is known.
  [[nodiscard]] auto alive_at() const -> milliseconds { return alive_at_; }

  /// Total weight of consecutive failures.
  [[nodiscard]] auto weight() const -> int { return weight_; }

 private:
  auto add(int weight, milliseconds now) -> bool;
  auto reset_if_expired(milliseconds now) -> void;
  auto avoid(milliseconds now) -> void;

  upstream_health_settings settings_;
  double jitter_;
  int weight_ = 0;
  int avoidances_ = 0;              ///< Number of consecutive avoidances.
  std::vector<std::string> peers_;  ///< Peers that reported one of the consecutive failures.
  milliseconds last_failure_at_ = 0;
  milliseconds avoidance_ = 0;  ///< Nominal length of the latest avoidance.
  milliseconds avoid_until_ = 0;
  milliseconds last_response_at_ = 0;
  milliseconds alive_at_ = 0;
  std::multiset<milliseconds> pending_;
};

}  // namespace birchlever

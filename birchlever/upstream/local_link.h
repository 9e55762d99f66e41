/// Detects whether failures are caused by this daemon's own network link rather than by upstreams. Reporting
/// them to peers would make the fleet avoid healthy upstreams.
#pragma once

#include <deque>
#include <set>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Settings of local_link. Times in ms.
struct local_link_settings {
  milliseconds proof_duration_ = 600;  ///< Time for which a response proves the link healthy; shorter than
                                       ///< the connection timeout.
  milliseconds failure_window_ = 100;  ///< Failures within this window are assumed to have one cause.
  int max_failing_ = 2;  ///< Upstreams that may fail within the window, or without a response in between,
                         ///< before the link is considered faulty.
};

/// State of the link as seen when a request fails.
enum class link_status {
  healthy,  ///< Another upstream responded recently, so the failed upstream is the cause.
  unknown,  ///< No recent response of another upstream.
  faulty    ///< Several upstreams are failing together.
};

/// Not thread-safe; use from one event loop.
class local_link {
 public:
  explicit local_link(const local_link_settings& settings = {}) : settings_{settings} {}

  /// Records a response of an upstream to a request sent at `sent_at`.
  auto record_response(const std::string& upstream, milliseconds sent_at, milliseconds now) -> void;

  /// Records a failed request.
  auto record_failure(const std::string& upstream, milliseconds now) -> void;

  /// Returns the link's state for a request sent to the upstream at `sent_at`. Record its failure first.
  [[nodiscard]] auto status_for(const std::string& upstream, milliseconds sent_at, milliseconds now) const
      -> link_status;

  /// Upstreams that failed since the last response from any upstream.
  [[nodiscard]] auto failed_since_response() const -> const std::set<std::string>& {
    return failed_since_response_;
  }

  /// Time at which the link recovered; earlier requests may have been delayed by the link.
  [[nodiscard]] auto healthy_since() const -> milliseconds { return healthy_since_; }

 private:
  struct event {
    std::string upstream_;
    milliseconds at_ = 0;
  };

  [[nodiscard]] auto count_recent_failures(milliseconds now) const -> std::size_t;

  local_link_settings settings_;
  event last_response_;
  event other_response_;        ///< Latest response of a different upstream.
  std::deque<event> failures_;  ///< Failures within the window.
  std::set<std::string> failed_since_response_;
  milliseconds healthy_since_ = 0;
};

}  // namespace birchlever

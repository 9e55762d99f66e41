/// State of an upstream as known to this daemon.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/upstream/cold_start_pace.h"
#include "birchlever/upstream/prompt_cache.h"
#include "birchlever/upstream/upstream_entry.h"
#include "birchlever/upstream/upstream_health.h"

namespace birchlever {

class upstream_speed;
struct request_progress;

/// One incarnation of a server. A restart under the same id creates a new upstream.
class upstream : public std::enable_shared_from_this<upstream> {
 public:
  explicit upstream(upstream_entry entry, upstream_health health = upstream_health{}, double phase = 0)
      : entry_{std::move(entry)}, health_{std::move(health)}, phase_{phase} {}

  [[nodiscard]] auto entry() const -> const upstream_entry& { return entry_; }
  [[nodiscard]] auto running() const -> int { return running_; }

  /// Returns when this daemon learned of it, on the local clock.
  [[nodiscard]] auto known_since() const -> milliseconds { return known_since_; }
  [[nodiscard]] auto health() const -> const upstream_health& { return health_; }

  /// Returns false if it is leaving, is no longer listed, or its data hall is closed.
  [[nodiscard]] auto accepts_requests() const -> bool { return listed_ && !entry_.leaving_ && !hall_closed_; }

  /// Returns true while the cold start limit applies.
  [[nodiscard]] auto cold(const cold_start_limit& limit, milliseconds now) const -> bool {
    return limit.per_s_ > 0 && (now < cold_until_ || now < hall_opened_at_ + limit.duration_);
  }

  /// Returns true if the cold start limit permits a request of this daemon now.
  [[nodiscard]] auto has_send_window(const cold_start_limit& limit, milliseconds now) const -> bool {
    if (!cold(limit, now)) {
      return true;
    }
    auto window = cold_start_window_at(limit, phase_, now);
    return window.open_ && window.number_ != last_window_;
  }

  /// Registers a callback invoked once when a new incarnation replaces this one, after which no response can
  /// arrive. Returns a handle for removing the callback.
  auto on_replaced(std::function<void()> callback) -> int {
    replacement_callbacks_[++last_callback_] = std::move(callback);
    return last_callback_;
  }

  auto remove_callback(int number) -> void { replacement_callbacks_.erase(number); }

 private:
  friend class upstream_directory;
  friend class upstream_pool;
  friend class speed_learner;

  upstream_entry entry_;
  std::string region_;
  milliseconds known_since_ = 0;
  bool listed_ = true;
  bool hall_closed_ = false;
  milliseconds hall_opened_at_ = -1'000'000;  ///< Initially far in the past.
  milliseconds cold_until_ = 0;
  int running_ = 0;               ///< Requests of this daemon in flight.
  double running_elsewhere_ = 0;  ///< Requests of other daemons, from their last reports.
  upstream_health health_;
  double phase_;                   ///< Phase of the cold start periods, 0 to 1.
  std::int64_t last_window_ = -1;  ///< Last cold start period in which a request was sent.
  milliseconds full_until_ = 0;
  prompt_cache cache_;
  std::size_t pool_index_ = 0;       ///< Index in its pool.
  std::size_t hall_index_ = 0;       ///< Index among the upstreams of its data hall.
  std::uint64_t sample_number_ = 0;  ///< Number of the last sample that contains it.
  std::map<int, std::function<void()>> replacement_callbacks_;
  int last_callback_ = 0;
  std::shared_ptr<upstream_speed> speed_;                  ///< Null until it was observed.
  std::vector<std::weak_ptr<request_progress>> progress_;  ///< Of this daemon's requests in flight.
  double logged_slowness_ = 1;
  milliseconds slowness_logged_at_ = 0;
};

using upstream_pointer = std::shared_ptr<upstream>;

}  // namespace birchlever

/// An upstream and what this daemon knows of it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "birchlever/upstream/cold_start_pace.h"
#include "birchlever/upstream/prompt_cache.h"
#include "birchlever/upstream/upstream_entry.h"
#include "birchlever/upstream/upstream_health.h"

namespace birchlever {

/// One start of one server. Another start under the same id is another upstream.
class upstream : public std::enable_shared_from_this<upstream> {
 public:
  explicit upstream(upstream_entry entry, upstream_health health = upstream_health{}, double phase = 0)
      : entry_{std::move(entry)}, health_{std::move(health)}, phase_{phase} {}

  [[nodiscard]] auto entry() const -> const upstream_entry& { return entry_; }
  [[nodiscard]] auto running() const -> int { return running_; }
  [[nodiscard]] auto health() const -> const upstream_health& { return health_; }

  /// False from the moment it was told to leave, its entry is gone, or its hall was closed.
  [[nodiscard]] auto takes_requests() const -> bool { return listed_ && !entry_.leaving_ && !hall_closed_; }

  /// True while it may bear few requests only.
  [[nodiscard]] auto cold(const cold_start_limit& limit, milliseconds now) const -> bool {
    return limit.per_s_ > 0 && (now < cold_until_ || now < hall_opened_at_ + limit.lasts_);
  }

  /// True when this daemon may send a request there now, as far as its start matters.
  [[nodiscard]] auto has_turn(const cold_start_limit& limit, milliseconds now) const -> bool {
    if (!cold(limit, now)) {
      return true;
    }
    auto turn = cold_start_turn_at(limit, phase_, now);
    return turn.open_ && turn.number_ != used_turn_;
  }

  /// Calls back once when another start takes its place: whoever waits for an answer waits in vain. Yields
  /// a number to forget the callback by.
  auto on_replaced(std::function<void()> callback) -> int {
    replaced_[++watches_] = std::move(callback);
    return watches_;
  }

  auto forget_callback(int number) -> void { replaced_.erase(number); }

 private:
  friend class upstream_directory;
  friend class upstream_pool;

  upstream_entry entry_;
  std::string region_;
  bool listed_ = true;
  bool hall_closed_ = false;
  milliseconds hall_opened_at_ = -1'000'000;  ///< A long time ago.
  milliseconds cold_until_ = 0;
  int running_ = 0;               ///< Requests of this daemon there now.
  double running_elsewhere_ = 0;  ///< Requests of other daemons, as they last said.
  upstream_health health_;
  double phase_;                 ///< 0 to 1, differs between daemons and upstreams.
  std::int64_t used_turn_ = -1;  ///< Number of the last turn in which a request went to it while cold.
  milliseconds full_until_ = 0;
  prompt_cache cache_;
  std::size_t place_ = 0;          ///< In its pool.
  std::size_t place_in_hall_ = 0;  ///< Likewise among those of its hall.
  std::uint64_t sampled_ = 0;      ///< Number of the last sample that it was put into.
  std::map<int, std::function<void()>> replaced_;
  int watches_ = 0;
};

using upstream_pointer = std::shared_ptr<upstream>;

}  // namespace birchlever

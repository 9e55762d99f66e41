/// All upstreams of the model: engines and plain services, and what is wrong with each.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/upstream/upstream_directory.h"
#include "fleet_model/load_pattern.h"
#include "fleet_model/upstream_model.h"

namespace birchlever::model {

inline constexpr auto engine_service = "engines";
inline constexpr auto tool_service = "tools";

/// The name of a data hall by number; upstreams and daemons lie in the halls in turn.
[[nodiscard]] inline auto hall_name(int index, const load_pattern& pattern) -> std::string {
  return "hall-" + std::to_string(index % pattern.halls_);
}

/// One upstream and its faults.
struct placed_upstream {
  upstream_entry entry_;
  std::unique_ptr<upstream_model> model_;
  bool dead_ = false;      ///< Refuses every connection.
  double lost_share_ = 0;  ///< Of its answers.
  double speed_ = 1;       ///< In proportion to which it gets slower.
};

/// Built from a pattern. Its upstreams stay where they are.
class upstream_park {
 public:
  upstream_park(const load_pattern& pattern, event_queue& events);

  [[nodiscard]] auto all() const -> const std::vector<placed_upstream>& { return upstreams_; }

  /// The upstream of an id of the park's own.
  [[nodiscard]] auto at(const std::string& id) -> placed_upstream& { return upstreams_[index_.at(id)]; }

  /// Lets those die that are picked, and the others live.
  auto set_dead(const std::function<bool(const placed_upstream&, std::size_t index)>& picked) -> void;

  /// Makes a share of the engines slower by a factor, the same share of those of each speed.
  auto set_slow(double share, double factor) -> void;

  auto set_lost_share(double share) -> void;

  /// Upstreams that are dead now.
  [[nodiscard]] auto dead() const -> std::int64_t;

 private:
  auto add(const char* service, const std::string& hall, int index, int slots,
           std::unique_ptr<upstream_model> made, double speed) -> void;

  std::vector<placed_upstream> upstreams_;
  std::map<std::string, std::size_t> index_;
};

}  // namespace birchlever::model

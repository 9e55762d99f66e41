#include "birchlever/coordination/conflict_pause.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto max_doublings = 10;

}  // namespace

auto longest_conflict_pause(int conflicts, milliseconds latency, const conflict_pause_settings& settings)
    -> milliseconds {
  auto counted = conflicts - settings.free_conflicts_;
  if (counted <= 0) {
    return 0;
  }
  auto doublings = std::min(counted - 1, max_doublings);
  return std::min(std::max(latency, settings.shortest_) << doublings, settings.longest_);
}

}  // namespace birchlever

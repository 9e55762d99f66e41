#include "birchlever/coordination/conflict_pause.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto most_doublings = 10;

}  // namespace

auto longest_conflict_pause(int conflicts, milliseconds took, const conflict_pause_settings& settings)
    -> milliseconds {
  auto counted = conflicts - settings.free_conflicts_;
  if (counted <= 0) {
    return 0;
  }
  auto doublings = std::min(counted - 1, most_doublings);
  return std::min(std::max(took, settings.shortest_) << doublings, settings.longest_);
}

}  // namespace birchlever

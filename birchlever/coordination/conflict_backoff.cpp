#include "birchlever/coordination/conflict_backoff.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto max_doublings = 10;

}  // namespace

auto max_conflict_backoff(int conflicts, milliseconds latency, const conflict_backoff_settings& settings)
    -> milliseconds {
  auto counted = conflicts - settings.free_conflicts_;
  if (counted <= 0) {
    return 0;
  }
  auto doublings = std::min(counted - 1, max_doublings);
  return std::min(std::max(latency, settings.min_backoff_) << doublings, settings.max_backoff_);
}

}  // namespace birchlever

/// One part of the store under a load that it bears, and in it one program that many daemons change at the
/// same time: whether the part recovers rests on how they repeat what is not answered and what lost against
/// another change. They decide with the product's own adaptive_timeouts and max_conflict_backoff.
#pragma once

#include <cstdint>
#include <vector>

#include "birchlever/coordination/conflict_backoff.h"
#include "birchlever/storage/adaptive_timeouts.h"

namespace birchlever::model {

/// The load. Figures: the platform's settings (a part makes 150 changes a second, one after the other, and
/// refuses what would wait for over a second) and the largest deployment's day of high load (about 1,000
/// changes/s over 32 parts, so 31/s a part; each from some daemon of 295; 1.8 s for a turn's beginning).
struct hot_part_settings {
  int daemons_ = 295;
  double changes_per_s_ = 31;
  double part_per_s_ = 150;
  double refuses_beyond_ms_ = 1000;
  double patience_ms_ = 1800;  ///< For one change, its repetitions included.
  int caller_tries_ = 6;  ///< A turn that is refused comes back through another daemon, so many times in all.
  double caller_gap_ms_ = 700;  ///< Between two of them, at the mean.
  double burst_at_ms_ = 2000;
  int burst_ = 150;  ///< Changes of one program that come at that moment, each through a daemon of its own:
                     ///< sub-agents of a program that never stops.
  double burst_patience_ms_ = 60000;  ///< For one of those: what a turn spent is settled in the background.
  double duration_ms_ = 30000;
  adaptive_timeout_settings answers_;
  conflict_backoff_settings conflicts_;
  std::uint64_t seed_ = 1;
};

/// What became of the changes, by the second in which they were wanted.
struct hot_part_outcome {
  std::vector<int> wanted_;
  std::vector<int> made_;  ///< At the first of the caller's tries.
  int sent_ = 0;           ///< Calls, repetitions included.

  /// Share made of what was wanted in a span, in seconds from the start.
  [[nodiscard]] auto made_between(std::size_t from_s, std::size_t to_s) const -> double;
};

/// Plays the load.
[[nodiscard]] auto play_hot_part(const hot_part_settings& settings) -> hot_part_outcome;

}  // namespace birchlever::model

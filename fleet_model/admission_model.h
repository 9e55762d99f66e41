/// A fleet whose store limits the rate of writes, on an event clock: callers with programs of several turns
/// and retries, daemons that decide with program_admission on views of their own age, and the store's rate
/// limit. No network, no threads; the same load and seed give the same outcome. Engines are not limited.
#pragma once

#include <cstdint>
#include <vector>

namespace birchlever::model {

/// Programs of one class of urgency.
struct admission_program_kind {
  double share_ = 0;  ///< Of the started programs.
  int turns_ = 1;
  double aim_factor_ = 2;  ///< The deadline is so many times the duration on an idle fleet,
  double aim_ms_ = 200;    ///< plus this time.
};

/// A load and the fleet that serves it.
struct admission_load {
  int daemons_ = 76;
  int receivers_ = 16;          ///< Peers that get a daemon's message every 200 ms.
  double writes_per_s_ = 1500;  ///< Of the store.
  double usual_ = 0.65;         ///< Started programs, as a fraction of what the store can complete.
  double burst_ = 2.5;          ///< Likewise during the burst.
  double burst_from_ms_ = 15000;
  double burst_for_ms_ = 6000;
  double duration_ms_ = 30000;
  double uninformed_share_ = 0;     ///< Daemons that receive no peer messages.
  double store_stall_from_ms_ = 0;  ///< The store halves its rate from here,
  double store_stall_for_ms_ = 0;   ///< for so long.
  bool admission_ = true;
  std::uint64_t seed_ = 1;
  std::vector<admission_program_kind> kinds_ = {{0.55, 3, 2.3, 200}, {0.45, 7, 2.3, 400}};  ///< By urgency.
};

/// What became of the programs that started in one second.
struct admission_second {
  int started_ = 0;
  int on_time_ = 0;
  int late_ = 0;
  int failed_ = 0;
  int refused_ = 0;   ///< First turns refused by admission in this second, including retries.
  double worth_ = 0;  ///< Of the programs completed in this second: 1 for a program of mean size on time.
};

/// What became of the load.
struct admission_outcome {
  std::vector<std::vector<admission_second>> seconds_;  ///< By urgency, then by second.
  int later_turns_refused_ = 0;   ///< Turns of started programs that were refused for the store's backlog.
  int late_after_admission_ = 0;  ///< Programs that missed their deadline although admitted in time.
  double capacity_per_s_ = 0;     ///< Programs that the store can complete.
  double limited_until_ms_ = 0;   ///< Last time at which a daemon limited new programs.

  /// Returns the sum over all urgencies of a span, in seconds from the start.
  [[nodiscard]] auto total(int from_s, int to_s) const -> admission_second;

  /// Returns the fraction of the programs of an urgency that were completed, on time or late.
  [[nodiscard]] auto served_share(std::size_t urgency, int from_s, int to_s) const -> double;

  /// Returns the fraction of the programs of an urgency that were completed on time.
  [[nodiscard]] auto on_time_share(std::size_t urgency, int from_s, int to_s) const -> double;
};

/// Plays a load to its end.
[[nodiscard]] auto play_admission(const admission_load& load) -> admission_outcome;

}  // namespace birchlever::model

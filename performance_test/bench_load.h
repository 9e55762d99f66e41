/// The programs that the policy bench runs: drawn from the two deployments, the same for every policy.
#pragma once

#include <set>
#include <vector>

#include "performance_test/policy_bench.h"

namespace birchlever::performance {

inline constexpr auto engine_capacity = 8;   ///< Streams of one engine.
inline constexpr auto prefill_per_ms = 8.0;  ///< Prompt tokens an engine takes in a millisecond.
inline constexpr auto token_ms = 24.0;       ///< An idle engine; a full one takes twice as long per token.
inline constexpr auto system_tokens = 600;   ///< Shared prefix of a template.

/// What sets the two deployments apart.
struct shape {
  int engines_;
  int accounts_;
  int least_turns_;
  int most_turns_;
  double tool_share_;
  double tool_ms_;
  int user_tokens_;
  int answer_tokens_;
  double cache_tokens_;
  int templates_;
};

/// The shape of a workload.
[[nodiscard]] auto shape_of(workload kind) -> const shape&;

/// One call of a program and the pause after it.
struct bench_turn {
  int user_tokens_;
  int answer_tokens_;
  double pause_ms_;
};

/// One program, and how far it has come.
struct bench_program {
  int account_ = 0;
  int template_ = 0;
  double starts_ms_ = 0;
  std::vector<bench_turn> turns_;
  // As it goes.
  std::size_t turn_ = 0;
  double history_tokens_ = 0;
  int last_engine_ = -1;
  std::set<int> holders_;
  double attained_ = 0;
  double asked_ms_ = 0;
  double ideal_ms_ = 0;
};

/// Draws the programs in the order of their starts.
[[nodiscard]] auto draw_programs(const bench_settings& settings) -> std::vector<bench_program>;

}  // namespace birchlever::performance

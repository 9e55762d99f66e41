/// Compares policies on the decision library alone, on an event clock, with common random numbers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/policy/policy_settings.h"

namespace birchlever::performance {

/// The two deployments the load is drawn from.
enum class workload { map_viewer, signing_house };

/// What goes wrong during a run.
enum class bench_fault { none, engine_dies, engine_slows, events_lost, reports_late, hot_account };

/// One run of the bench.
struct bench_settings {
  workload workload_ = workload::map_viewer;
  bench_fault fault_ = bench_fault::none;
  double load_ = 0.8;  ///< Share of the engines' capacity asked for.
  int programs_ = 1200;
  std::uint64_t seed_ = 1;
};

/// What a policy did with the load.
struct bench_outcome {
  std::vector<double> latencies_ms_;    ///< Per program, in the order of the programs.
  std::vector<double> first_token_ms_;  ///< Per call.
  double recomputed_tokens_ = 0;        ///< Prefix tokens of the own program computed again.
  double duplicated_tokens_ = 0;        ///< Prefix tokens held on more than one engine, summed over moves.
  double dead_token_seconds_ = 0;       ///< Tokens held for ended programs, times seconds.
  double worst_account_slowdown_ = 0;
  std::int64_t refusals_ = 0;
  double decision_ns_ = 0;

  [[nodiscard]] auto wasted() const -> double { return recomputed_tokens_ + duplicated_tokens_; }
};

[[nodiscard]] auto name_of(workload kind) -> const char*;
[[nodiscard]] auto name_of(bench_fault fault) -> const char*;

/// Runs a policy over the load; the same arguments give the same outcome, decision times apart.
[[nodiscard]] auto run_bench(const policy_settings& policy, const bench_settings& settings) -> bench_outcome;

}  // namespace birchlever::performance

/// Input and output types of placement policies.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace birchlever {

/// Relative increase of an engine's time per token with each further stream that it runs. On the engines that
/// this was measured on, a step takes 4.63 ms and 0.153 ms more for each further stream.
inline constexpr auto step_growth_per_stream = 0.033;

/// Snapshot of an engine as known to the daemon that owns the call.
struct engine_view {
  std::string id_;
  std::string data_hall_;
  std::vector<std::string> models_;
  std::string role_ = "both";
  bool usable_ = true;            ///< Accepts calls: not leaving, drained or suspected of failing.
  double running_ = 0;            ///< Active streams, from the load report.
  double queued_ = 0;             ///< Queued calls, from the load report.
  double capacity_ = 1;           ///< Maximum number of concurrent streams.
  double cache_tokens_ = 0;       ///< Tokens in the prefix cache, from the load report.
  double cache_capacity_ = 1;     ///< Capacity of the prefix cache, in tokens.
  double report_age_ms_ = 0;      ///< Age of the load report.
  double sent_since_report_ = 0;  ///< Calls sent by this daemon and not yet covered by the report.
  double done_since_report_ = 0;  ///< Calls finished since the report.
  bool connected_ = false;        ///< An idle pooled connection to the engine is available.
  double slowness_ = 1;           ///< Ratio of the measured to the expected time per token.
  double speed_weight_ = 0;       ///< Weight of the observations behind the slowness.
};

/// Properties of a call and its program that policies may use.
struct call_view {
  std::string program_;
  std::string model_;
  std::string data_hall_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t max_tokens_ = 0;
  std::int64_t attained_tokens_ = 0;
  std::int64_t budget_remaining_ = 0;
  std::int64_t deadline_ms_ = 0;
  double account_share_ = 1;           ///< Ratio of the account's load to its fair share.
  std::vector<double> cached_tokens_;  ///< Per engine: estimated number of prompt tokens in its cache.
  double cache_view_age_ms_ = 0;       ///< Age of the cache estimate.
  std::vector<std::string> avoid_;     ///< Engines to exclude because they failed this call.
  std::uint64_t seed_ = 0;             ///< Breaks ties between engines.
};

/// An engine considered by a decision, with its estimated costs.
struct candidate {
  std::size_t engine_ = 0;
  double cost_ = 0;
  double wait_ms_ = 0;
  double compute_ms_ = 0;
  double waste_ms_ = 0;
};

/// Result of a policy.
struct decision {
  std::size_t engine_ = 0;
  int priority_ = 0;  ///< Lower values are scheduled first.
  std::vector<candidate> candidates_;
};

/// Returns true if the engine is usable, not a spare, not excluded and serves the call's model.
[[nodiscard]] auto eligible(const engine_view& engine, const call_view& call) -> bool;

/// Returns the reported load corrected by the calls that this daemon sent and saw finish since the report.
[[nodiscard]] auto corrected_load(const engine_view& engine) -> double;

}  // namespace birchlever

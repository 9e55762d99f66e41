/// What a policy may look at: read-only, with the age of everything that can be old.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace birchlever {

/// One engine as its owner sees it.
struct engine_view {
  std::string id_;
  std::string data_hall_;
  std::vector<std::string> models_;
  std::string role_ = "both";
  bool usable_ = true;            ///< Live, not leaving, not drained, not failing.
  double running_ = 0;            ///< Streams, as reported.
  double queued_ = 0;             ///< Calls waiting, as reported.
  double capacity_ = 1;           ///< Streams that run at once.
  double cache_tokens_ = 0;       ///< Prefix tokens held, as reported.
  double cache_capacity_ = 1;     ///< Prefix tokens that fit.
  double report_age_ms_ = 0;      ///< Age of the report.
  double sent_since_report_ = 0;  ///< Calls this owner sent that the report cannot hold yet.
  double done_since_report_ = 0;  ///< Calls this owner saw end since.
  bool connected_ = false;        ///< A kept connection to it is free here.
  double slowness_ = 1;           ///< Measured time per token over the expected one.
};

/// What is known about a call and its program, beside the engines.
struct call_view {
  std::string program_;
  std::string model_;
  std::string data_hall_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t max_tokens_ = 0;
  std::int64_t attained_tokens_ = 0;
  std::int64_t budget_remaining_ = 0;
  std::int64_t deadline_ms_ = 0;
  double account_share_ = 1;           ///< The account's load over its fair share.
  std::vector<double> cached_tokens_;  ///< Per engine: prompt tokens its cache may hold.
  double cache_view_age_ms_ = 0;       ///< Age of that knowledge.
  std::vector<std::string> avoid_;     ///< Engines that failed this call.
  std::uint64_t seed_ = 0;             ///< For ties.
};

/// One engine a decision weighed.
struct candidate {
  std::size_t engine_ = 0;
  double cost_ = 0;
  double wait_ms_ = 0;
  double compute_ms_ = 0;
  double waste_ms_ = 0;
};

/// What a policy decides.
struct decision {
  std::size_t engine_ = 0;
  int priority_ = 0;  ///< Lower runs first.
  std::vector<candidate> candidates_;
};

/// True when the call may run on the engine at all.
[[nodiscard]] auto eligible(const engine_view& engine, const call_view& call) -> bool;

/// Streams and waiting calls by the report, corrected by what this owner knows better.
[[nodiscard]] auto corrected_load(const engine_view& engine) -> double;

}  // namespace birchlever

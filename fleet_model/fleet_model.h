/// A whole fleet on an event clock: callers with programs, hundreds of daemons that decide with the product's
/// own code on views of their own age, and upstreams as the platform's sheets describe them. No network, no
/// threads; the same pattern, settings and seed give the same outcome.
///
/// Modelled of a daemon: its directory of upstreams with health and prompt caches, its policies, its peers'
/// words, news. Not modelled: processor time, the store's calls, sub-agents, preemption.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet_model/load_pattern.h"

namespace birchlever::model {

/// How the fleet decides.
struct model_settings {
  std::string engine_policy_;
  std::string service_policy_;
  std::uint64_t seed_ = 1;
  bool learn_speeds_ = false;
  bool full_knowledge_ = false;  ///< Each turn goes to the engine that would now finish it first.
};

/// A turn that was served. Times in ms.
struct served_turn {
  double began_ms_ = 0;
  double took_ms_ = 0;
};

/// A request that was sent to an engine.
struct engine_offer {
  double at_ms_ = 0;
  std::string engine_;
};

/// What became of the load.
struct model_outcome {
  int programs_ = 0;  ///< Those whose aim lies within the pattern's duration.
  int late_ = 0;
  int failed_ = 0;
  double owed_ = 0;
  double earned_ = 0;
  std::vector<double> owed_by_second_;  ///< By the second in which the program began.
  std::vector<double> earned_by_second_;
  double most_avoided_ = 0;  ///< Largest share of the sound upstreams that one daemon, not cut off itself,
                             ///< avoided at one moment.
  double mean_avoided_ = 0;  ///< Likewise at the mean over all daemons and moments.
  double dead_offers_ = 0;   ///< Offers to dead upstreams from a second after their death on, over what their
                             ///< share of all offers would be if nobody knew.
  double busiest_engine_ = 0;  ///< Its requests over the engines' mean.
  int idle_engines_ = 0;       ///< Engines that got no request.
  double read_share_ = 0;      ///< Prompt tokens that engines were believed to lack, of all.

  std::vector<served_turn> turns_;
  std::vector<engine_offer> engine_offers_;

  /// Returns the 90th percentile of the durations of turns that began from a time on, in ms.
  [[nodiscard]] auto turn_p90(double from_ms) const -> double;

  [[nodiscard]] auto worth() const -> double { return owed_ > 0 ? earned_ / owed_ : 0; }

  /// Worth of the programs that began in a span, in seconds from the start.
  [[nodiscard]] auto worth_between(double from_s, double to_s) const -> double;
};

/// Plays a pattern. Failures: invalid_command for a policy that can't be read.
[[nodiscard]] auto play(const load_pattern& pattern, const model_settings& settings) -> result<model_outcome>;

}  // namespace birchlever::model

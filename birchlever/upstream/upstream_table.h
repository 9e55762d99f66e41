/// Table of engines and services with their load, and selection of one for each call.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/policy/policy_interface.h"
#include "birchlever/storage/vm_list.h"

namespace birchlever {

/// Load report of an engine.
struct load_report {
  std::string engine_;
  double running_ = 0;
  double queued_ = 0;
  double capacity_ = 1;
  double cache_tokens_ = 0;
  double cache_capacity_ = 1;
  double lag_ms_ = 0;  ///< Age in ms of the report when it was sent.
  std::vector<std::string> models_;
  std::string role_ = "both";
};

/// Placement request of a call.
struct placement_request {
  call_view call_;
  std::string service_;
  std::vector<std::uint64_t> prefix_hashes_;
  std::string last_upstream_;            ///< Engine that has the program's prefix cached.
  std::int64_t last_prefix_tokens_ = 0;  ///< Length of that prefix in tokens.
  std::set<std::string> holders_;        ///< Engines that may have copies of the prefix.
};

/// Candidate engine with its costs, for diagnostics.
struct ranked_candidate {
  std::string engine_;
  candidate cost_terms_;
};

/// Result of a placement.
struct placement_result {
  vm_entry upstream_;
  int priority_ = 0;
  std::size_t candidate_count_ = 0;               ///< Number of candidate engines.
  std::vector<ranked_candidate> top_candidates_;  ///< Candidates with the lowest costs, in ascending order.
};

/// Thread-safe. Load reports are corrected by the calls that this daemon sent and finished since.
class upstream_table {
 public:
  /// Tokens covered by one prefix hash.
  static constexpr std::int64_t block_tokens = 256;

  /// Sets the listed VMs and the drained VMs and data halls.
  auto set_upstreams(const std::vector<vm_entry>& entries, const std::set<std::string>& drained,
                     const std::set<std::string>& drained_halls) -> void;

  /// Applies a load report received at `now`. Reports of unknown engines are ignored.
  auto update_load(const load_report& report, milliseconds now) -> void;

  /// Removes the cached prefixes of an engine, as after a restart or cache flush.
  auto clear_prefixes(const std::string& engine) -> void;

  /// Selects an upstream. Failures: no_upstream, unknown_service.
  auto choose(const policy_interface& policy, placement_request request, milliseconds now)
      -> result<placement_result>;

  /// Records a call sent to an upstream.
  auto record_sent(const std::string& upstream, const std::vector<std::uint64_t>& prefix_hashes,
                   milliseconds now) -> void;

  /// Records a finished call. Consecutive failures exclude the upstream temporarily.
  auto record_finished(const std::string& upstream, bool failed, milliseconds now) -> void;

  /// Returns the current view of all engines.
  [[nodiscard]] auto engines(milliseconds now) -> std::vector<engine_view>;

  /// Returns the latest reports of the given engines, for other daemons.
  [[nodiscard]] auto reports_of(const std::vector<std::string>& engines) const -> std::vector<load_report>;

 private:
  struct engine_state {
    vm_entry entry_;
    milliseconds reported_at_ = -1;
    double reported_lag_ = 0;
    int failures_ = 0;
    milliseconds suspect_until_ = -1;
    std::vector<milliseconds> sent_;
    std::vector<milliseconds> done_;
  };

  auto refresh(milliseconds now) -> void;
  auto fill_cached(const placement_request& request, std::vector<double>& cached) const -> void;
  auto choose_service(const placement_request& request) -> result<placement_result>;
  auto choose_engine(const policy_interface& policy, placement_request& request, milliseconds now)
      -> result<placement_result>;
  [[nodiscard]] auto describe(decision decided) const -> placement_result;
  [[nodiscard]] auto index_of(const std::string& id) const -> std::size_t;

  mutable std::mutex mutex_;
  std::vector<engine_state> states_;  ///< Same indices as views_.
  std::vector<engine_view> views_;
  std::vector<vm_entry> services_;
  std::map<std::string, std::size_t> index_;
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> prefix_holders_;
  std::uint64_t next_seed_ = 0;
};

}  // namespace birchlever

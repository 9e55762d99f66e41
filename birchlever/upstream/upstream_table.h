/// The upstreams as this daemon sees them, and the choice among them.
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

/// A load report of an engine.
struct load_report {
  std::string engine_;
  double running_ = 0;
  double queued_ = 0;
  double capacity_ = 1;
  double cache_tokens_ = 0;
  double cache_capacity_ = 1;
  double lag_ms_ = 0;  ///< Age the engine itself gives the report.
  std::vector<std::string> models_;
  std::string role_ = "both";
};

/// What the table needs to know of a call beside what policies see.
struct placement {
  call_view call_;
  std::string service_;
  std::vector<std::uint64_t> prefix_hashes_;
  std::string last_upstream_;            ///< Engine with the program's own prefix.
  std::int64_t last_prefix_tokens_ = 0;  ///< Its length.
  std::set<std::string> holders_;        ///< Engines that may hold copies.
};

/// A weighed engine by name, for explanations.
struct explained_candidate {
  std::string engine_;
  candidate terms_;
};

/// The outcome of a choice.
struct placed {
  vm_entry upstream_;
  int priority_ = 0;
  std::size_t weighed_ = 0;                     ///< Number of engines weighed.
  std::vector<explained_candidate> explained_;  ///< The best of them, best first.
};

/// Thread safe. Reports are corrected by the calls this daemon's shards sent and saw end since.
class upstream_table {
 public:
  /// Tokens that one prefix hash stands for.
  static constexpr std::int64_t block_tokens = 256;

  /// Takes in the platform's list and what operators drained.
  auto set_upstreams(const std::vector<vm_entry>& entries, const std::set<std::string>& drained,
                     const std::set<std::string>& drained_halls) -> void;

  /// Takes in a report that was received at the given time.
  auto report(const load_report& fresh, milliseconds now) -> void;

  /// An engine threw its cache away or restarted: what was known of its prefixes is void.
  auto forget_prefixes(const std::string& engine) -> void;

  /// Chooses an upstream. Failures: no_upstream, unknown_service, unknown_model.
  auto choose(const policy_interface& policy, placement wish, milliseconds now) -> result<placed>;

  /// A call was sent.
  auto sent(const std::string& upstream, const std::vector<std::uint64_t>& prefix_hashes, milliseconds now)
      -> void;

  /// A call ended; failed ones make the upstream suspect for a while.
  auto done(const std::string& upstream, bool failed, milliseconds now) -> void;

  /// The engines as policies see them now.
  [[nodiscard]] auto engines(milliseconds now) -> std::vector<engine_view>;

  /// The newest reports, to share with other owners.
  [[nodiscard]] auto reports_of(const std::vector<std::string>& engines) const -> std::vector<load_report>;

 private:
  struct known_upstream {
    vm_entry entry_;
    milliseconds reported_at_ = -1;
    double reported_lag_ = 0;
    int failures_ = 0;
    milliseconds suspect_until_ = -1;
    std::vector<milliseconds> sent_;
    std::vector<milliseconds> done_;
  };

  auto refresh(milliseconds now) -> void;
  auto fill_cached(const placement& wish, std::vector<double>& cached) const -> void;
  auto choose_service(const placement& wish) -> result<placed>;
  auto choose_engine(const policy_interface& policy, placement& wish, milliseconds now) -> result<placed>;
  [[nodiscard]] auto describe(decision made) const -> placed;
  [[nodiscard]] auto index_of(const std::string& id) const -> std::size_t;

  mutable std::mutex mutex_;
  std::vector<known_upstream> known_;  ///< Engines, in step with views_.
  std::vector<engine_view> views_;
  std::vector<vm_entry> services_;
  std::map<std::string, std::size_t> index_;
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> prefix_holders_;
  std::uint64_t turn_ = 0;
};

}  // namespace birchlever

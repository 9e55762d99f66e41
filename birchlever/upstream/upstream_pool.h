/// Listed upstreams of one service, with sampling of candidates.
///
/// Large pools are sampled, which makes the cost of a selection independent of the pool's size. A sample
/// contains the upstreams most recently used by this daemon, which are likely to have its prompts cached and
/// connections to it open, some in its own data hall and some of the whole pool. The least loaded upstream of
/// such a sample is nearly as good as that of the pool. The caller adds the upstream of the previous turn and
/// the one of the affinity key.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/upstream/upstream.h"

namespace birchlever {

/// Settings of upstream_pool.
struct upstream_pool_settings {
  std::size_t max_unsampled_ = 160;      ///< Pool size up to which all upstreams are candidates.
  std::size_t recently_used_ = 16;       ///< Sampled from those most recently used by this daemon.
  std::size_t local_hall_ = 24;          ///< Sampled from this daemon's data hall.
  std::size_t any_hall_ = 8;             ///< Sampled from the whole pool.
  std::size_t affinity_candidates_ = 8;  ///< Candidates for the upstream of an affinity key.
};

/// Not thread-safe; use from one event loop.
class upstream_pool {
 public:
  explicit upstream_pool(const upstream_pool_settings& settings = {}) : settings_{settings} {}

  auto add(const upstream_pointer& target) -> void;
  auto remove(const upstream_pointer& target) -> void;

  /// Marks an upstream as most recently used.
  auto mark_used(const upstream_pointer& target) -> void;

  [[nodiscard]] auto all() const -> const std::vector<upstream_pointer>& { return all_; }

  /// Returns the candidates for a request: the whole pool, or a sample determined by the data hall and
  /// `seed`.
  [[nodiscard]] auto sample(const std::string& hall, std::uint64_t seed) -> std::vector<upstream_pointer>;

  /// Returns true if the pool is large enough to be sampled.
  [[nodiscard]] auto sampled() const -> bool { return all_.size() > settings_.max_unsampled_; }

  /// Returns the upstreams following the key on a hash ring, which are the same on all daemons.
  [[nodiscard]] auto ring_candidates(const std::string& key) const -> std::vector<upstream_pointer>;

 private:
  auto append_random(const std::vector<upstream_pointer>& from, std::size_t count, std::uint64_t seed,
                     std::vector<upstream_pointer>& into) const -> void;
  auto append_once(const upstream_pointer& target, std::vector<upstream_pointer>& into) const -> void;

  upstream_pool_settings settings_;
  std::vector<upstream_pointer> all_;
  std::unordered_map<std::string, std::vector<upstream_pointer>> by_hall_;
  std::map<std::uint64_t, upstream_pointer> ring_;  ///< Hash ring of upstream ids.
  std::deque<upstream_pointer> recent_;             ///< Most recently used first.
  std::uint64_t sample_count_ = 0;
};

}  // namespace birchlever

/// The listed upstreams of one service, and a bounded number of them to choose among.
///
/// Up to some hundred all are weighed for each request. Of thousands a sample is: where the prompt's previous
/// turn ran and where its program is at home, those that this daemon used last (they hold its prompts and
/// connections), some of its own data hall and some of any. So a choice costs the same whatever the fleet's
/// size, and the freest of some dozen is about as good as the freest of all.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/upstream/upstream.h"

namespace birchlever {

/// How many are weighed.
struct upstream_pool_settings {
  std::size_t most_weighed_ = 160;   ///< Up to so many, all are.
  std::size_t used_last_ = 16;       ///< Of a sample: those that this daemon used last.
  std::size_t own_hall_ = 24;        ///< Of its own data hall.
  std::size_t anywhere_ = 8;         ///< Of all.
  std::size_t home_candidates_ = 8;  ///< Neighbours on the ring among which a subject's home is.
};

/// For coroutines of one loop.
class upstream_pool {
 public:
  explicit upstream_pool(const upstream_pool_settings& settings = {}) : settings_{settings} {}

  auto add(const upstream_pointer& one) -> void;
  auto remove(const upstream_pointer& one) -> void;

  /// A request of this daemon was sent there.
  auto note_used(const upstream_pointer& one) -> void;

  [[nodiscard]] auto all() const -> const std::vector<upstream_pointer>& { return all_; }

  /// Those to choose among: all, or a sample that `seed` and the data hall decide.
  [[nodiscard]] auto sample(const std::string& hall, std::uint64_t seed) -> std::vector<upstream_pointer>;

  /// True when a sample is smaller than the pool.
  [[nodiscard]] auto sampled() const -> bool { return all_.size() > settings_.most_weighed_; }

  /// Neighbours of a subject on a ring of ids: the same few for all daemons, whatever else they know.
  [[nodiscard]] auto neighbours_of(const std::string& subject) const -> std::vector<upstream_pointer>;

 private:
  auto draw(const std::vector<upstream_pointer>& from, std::size_t count, std::uint64_t seed,
            std::vector<upstream_pointer>& into) const -> void;
  auto take(const upstream_pointer& one, std::vector<upstream_pointer>& into) const -> void;

  upstream_pool_settings settings_;
  std::vector<upstream_pointer> all_;
  std::unordered_map<std::string, std::vector<upstream_pointer>> by_hall_;
  std::map<std::uint64_t, upstream_pointer> ring_;  ///< By the hash of their ids.
  std::deque<upstream_pointer> used_;               ///< Latest first.
  std::uint64_t samples_ = 0;
};

}  // namespace birchlever

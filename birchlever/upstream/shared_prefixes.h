/// Estimates how much of a prompt every engine of a service has cached because programs share its prefix.
///
/// A daemon observes only its own requests and would otherwise concentrate shared prefixes on the few engines
/// that it sent them to. Engines evict least recently used prefixes, so the probability that a part is cached
/// follows from its frequency relative to the tokens processed, which a daemon can estimate from its own
/// traffic.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {

/// Shared prefixes of one service. Not thread-safe.
class shared_prefixes {
 public:
  /// Records a request of a program. `uncached_tokens` is the number of prompt tokens not cached by the
  /// engine.
  auto record(const std::string& program, const std::vector<prompt_part>& parts, std::int64_t uncached_tokens,
              milliseconds now) -> void;

  /// Returns the expected number of leading prompt tokens cached by an arbitrary engine with the given cache
  /// capacity in tokens.
  [[nodiscard]] auto expected_cached_tokens(const std::vector<prompt_part>& parts,
                                            std::int64_t cache_capacity, milliseconds now) const
      -> std::int64_t;

 private:
  /// Exponentially decaying rate.
  struct decaying_rate {
    double per_s_ = 0;
    milliseconds at_ = 0;

    [[nodiscard]] auto value_at(milliseconds time) const -> double;
    auto add(double amount, milliseconds time) -> void;
  };

  struct part_use {
    decaying_rate programs_;  ///< Consecutive uses by one program count once.
    std::string last_program_;
  };

  auto remove_rare(milliseconds now) -> void;

  std::unordered_map<std::uint64_t, part_use> uses_;
  decaying_rate processed_;
};

}  // namespace birchlever

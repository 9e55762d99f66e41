/// Estimate of the contents of an engine's prompt cache, based on this daemon's own requests.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace birchlever {

/// Part of a prompt that requests may share.
struct prompt_part {
  std::uint64_t id_ = 0;
  std::int64_t tokens_ = 0;
};

/// LRU model of the engine's cache, which evicts in the same order. The number of parts is limited, too, to
/// bound the memory per engine.
class prompt_cache {
 public:
  /// Sets the capacity in tokens. Takes effect with the next record_use().
  auto set_capacity(std::int64_t tokens) -> void { capacity_ = tokens; }

  /// Records that the engine processed a prompt with these parts.
  auto record_use(const std::vector<prompt_part>& parts) -> void;

  /// Returns the tokens of the longest cached prefix: a cached part counts only if all parts before it are
  /// cached.
  [[nodiscard]] auto cached_prefix_tokens(const std::vector<prompt_part>& parts) const -> std::int64_t;

  /// Total number of cached tokens.
  [[nodiscard]] auto tokens() const -> std::int64_t { return tokens_; }

  /// Removes all entries, as after a restart of the engine.
  auto clear() -> void;

 private:
  std::list<prompt_part> lru_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> index_;
  std::int64_t tokens_ = 0;
  std::int64_t capacity_ = 0;
};

}  // namespace birchlever

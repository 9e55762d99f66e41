/// What an engine's prompt cache probably holds, as far as this daemon's own traffic tells.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace birchlever {

/// A part of a prompt that may be shared between requests.
struct prompt_part {
  std::uint64_t id_ = 0;
  std::int64_t tokens_ = 0;
};

/// Least recently used parts leave first, as in the engine itself.
class prompt_cache {
 public:
  /// Room of the engine, in tokens; at least what a forgetful view needs is kept.
  auto set_room(std::int64_t tokens) -> void { room_ = tokens; }

  /// A request with these parts ran there.
  auto used(const std::vector<prompt_part>& parts) -> void;

  /// Tokens of the leading parts that are held: a part counts only behind those before it.
  [[nodiscard]] auto held(const std::vector<prompt_part>& parts) const -> std::int64_t;

  /// All tokens held.
  [[nodiscard]] auto tokens() const -> std::int64_t { return tokens_; }

  /// Forgets everything: the engine was started anew.
  auto clear() -> void;

 private:
  std::list<prompt_part> by_age_;  ///< Newest first.
  std::unordered_map<std::uint64_t, std::list<prompt_part>::iterator> known_;
  std::int64_t tokens_ = 0;
  std::int64_t room_ = 0;
};

}  // namespace birchlever

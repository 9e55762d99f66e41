#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {
namespace {

constexpr auto max_parts = std::size_t{4096};  // Limits the memory used per engine.

}  // namespace

auto prompt_cache::record_use(const std::vector<prompt_part>& parts) -> void {
  for (const auto& part : parts) {
    auto found = index_.find(part.id_);
    if (found != index_.end()) {
      tokens_ -= found->second->tokens_;
      lru_.erase(found->second);
    }
    lru_.push_front(part);
    index_[part.id_] = lru_.begin();
    tokens_ += part.tokens_;
  }
  while (!lru_.empty() && (tokens_ > capacity_ || lru_.size() > max_parts)) {
    tokens_ -= lru_.back().tokens_;
    index_.erase(lru_.back().id_);
    lru_.pop_back();
  }
}

auto prompt_cache::cached_prefix_tokens(const std::vector<prompt_part>& parts) const -> std::int64_t {
  auto total = std::int64_t{0};
  for (const auto& part : parts) {
    if (index_.count(part.id_) == 0) {
      break;
    }
    total += part.tokens_;
  }
  return total;
}

auto prompt_cache::clear() -> void {
  lru_.clear();
  index_.clear();
  tokens_ = 0;
}

}  // namespace birchlever

#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {
namespace {

constexpr auto most_parts = std::size_t{4096};  // Limits the memory used per engine.

}  // namespace

auto prompt_cache::record_use(const std::vector<prompt_part>& parts) -> void {
  for (const auto& part : parts) {
    auto found = known_.find(part.id_);
    if (found != known_.end()) {
      tokens_ -= found->second->tokens_;
      by_age_.erase(found->second);
    }
    by_age_.push_front(part);
    known_[part.id_] = by_age_.begin();
    tokens_ += part.tokens_;
  }
  while (!by_age_.empty() && (tokens_ > capacity_ || by_age_.size() > most_parts)) {
    tokens_ -= by_age_.back().tokens_;
    known_.erase(by_age_.back().id_);
    by_age_.pop_back();
  }
}

auto prompt_cache::cached_prefix_tokens(const std::vector<prompt_part>& parts) const -> std::int64_t {
  auto total = std::int64_t{0};
  for (const auto& part : parts) {
    if (known_.count(part.id_) == 0) {
      break;
    }
    total += part.tokens_;
  }
  return total;
}

auto prompt_cache::clear() -> void {
  by_age_.clear();
  known_.clear();
  tokens_ = 0;
}

}  // namespace birchlever

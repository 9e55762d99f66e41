#include "birchlever/upstream/shared_prefixes.h"

#include <cmath>

namespace birchlever {
namespace {

constexpr auto decay_ms = 5000.0;  // Decay time constant.
constexpr auto ms_per_second = 1000.0;
constexpr auto max_parts = std::size_t{1024};  // Size above which rarely used parts are removed.
constexpr auto min_rate_per_s = 0.05;          // Rate below which a part counts as rarely used.
constexpr auto min_probability = 0.5;          // Less likely parts are assumed not to be cached.

}  // namespace

auto shared_prefixes::decaying_rate::value_at(milliseconds time) const -> double {
  return per_s_ * std::exp(-static_cast<double>(time - at_) / decay_ms);
}

auto shared_prefixes::decaying_rate::add(double amount, milliseconds time) -> void {
  per_s_ = value_at(time) + amount * ms_per_second / decay_ms;
  at_ = time;
}

auto shared_prefixes::record(const std::string& program, const std::vector<prompt_part>& parts,
                             std::int64_t uncached_tokens, milliseconds now) -> void {
  processed_.add(static_cast<double>(uncached_tokens), now);
  for (const auto& part : parts) {
    auto& use = uses_[part.id_];
    if (use.last_program_ != program) {
      use.programs_.add(use.last_program_.empty() ? 0 : 1,
                        now);  // The first program does not share the part yet.
      use.last_program_ = program;
    }
  }
  if (uses_.size() > max_parts) {
    remove_rare(now);
  }
}

auto shared_prefixes::remove_rare(milliseconds now) -> void {
  for (auto next = uses_.begin(); next != uses_.end();) {
    next = next->second.programs_.value_at(now) < min_rate_per_s ? uses_.erase(next) : std::next(next);
  }
}

auto shared_prefixes::expected_cached_tokens(const std::vector<prompt_part>& parts,
                                             std::int64_t cache_capacity, milliseconds now) const
    -> std::int64_t {
  auto processed_per_s = processed_.value_at(now);
  auto expected = 0.0;
  auto probability = 1.0;
  for (const auto& part : parts) {
    auto use = uses_.find(part.id_);
    auto per_s = use == uses_.end() ? 0.0 : use->second.programs_.value_at(now);
    auto expected_uses =
        processed_per_s > 0 ? per_s / processed_per_s * static_cast<double>(cache_capacity) : 0.0;
    probability *= 1 - std::exp(-expected_uses);
    if (probability < min_probability) {
      break;
    }
    expected += probability * static_cast<double>(part.tokens_);
  }
  return static_cast<std::int64_t>(expected);
}

}  // namespace birchlever

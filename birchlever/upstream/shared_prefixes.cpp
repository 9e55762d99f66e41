#include "birchlever/upstream/shared_prefixes.h"

#include <cmath>

namespace birchlever {
namespace {

constexpr auto fade_ms = 5000.0;  // Decay time constant.
constexpr auto ms_per_second = 1000.0;
constexpr auto most_parts = std::size_t{1024};  // Size above which rarely used parts are removed.
constexpr auto rare_per_s = 0.05;               // Rate below which a part counts as rarely used.
constexpr auto least_probability = 0.5;         // Less likely parts are assumed not to be cached.

}  // namespace

auto shared_prefixes::fading_rate::now(milliseconds moment) const -> double {
  return per_s_ * std::exp(-static_cast<double>(moment - at_) / fade_ms);
}

auto shared_prefixes::fading_rate::add(double amount, milliseconds moment) -> void {
  per_s_ = now(moment) + amount * ms_per_second / fade_ms;
  at_ = moment;
}

auto shared_prefixes::record(const std::string& program, const std::vector<prompt_part>& parts,
                             std::int64_t read_tokens, milliseconds now) -> void {
  read_.add(static_cast<double>(read_tokens), now);
  for (const auto& part : parts) {
    auto& use = uses_[part.id_];
    if (use.last_program_ != program) {
      use.programs_.add(use.last_program_.empty() ? 0 : 1,
                        now);  // The first program does not share the part yet.
      use.last_program_ = program;
    }
  }
  if (uses_.size() > most_parts) {
    forget_rare(now);
  }
}

auto shared_prefixes::forget_rare(milliseconds now) -> void {
  for (auto next = uses_.begin(); next != uses_.end();) {
    next = next->second.programs_.now(now) < rare_per_s ? uses_.erase(next) : std::next(next);
  }
}

auto shared_prefixes::expected_cached_tokens(const std::vector<prompt_part>& parts, std::int64_t room,
                                             milliseconds now) const -> std::int64_t {
  auto read_per_s = read_.now(now);
  auto expected = 0.0;
  auto probability = 1.0;
  for (const auto& part : parts) {
    auto use = uses_.find(part.id_);
    auto per_s = use == uses_.end() ? 0.0 : use->second.programs_.now(now);
    auto in_memory = read_per_s > 0 ? per_s / read_per_s * static_cast<double>(room) : 0.0;
    probability *= 1 - std::exp(-in_memory);
    if (probability < least_probability) {
      break;
    }
    expected += probability * static_cast<double>(part.tokens_);
  }
  return static_cast<std::int64_t>(expected);
}

}  // namespace birchlever

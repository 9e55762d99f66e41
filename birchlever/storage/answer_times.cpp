#include "birchlever/storage/answer_times.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto usual_weight = 0.1;      // Of a new measurement in the moving mean.
constexpr auto lost_after_usual = 5.0;  // An answer so many times later than usual is taken for lost.
constexpr auto slow_margin = 2;         // A place may take so many times as long as it last did.

}  // namespace

auto answer_times::first_limit() const -> milliseconds {
  auto usual = static_cast<milliseconds>(lost_after_usual * usual_ms_);
  return std::clamp(usual, settings_.shortest_, settings_.longest_);
}

auto answer_times::limit(const std::string& place, int tries) const -> milliseconds {
  auto wanted = tries < settings_.quick_tries_ ? first_limit() << tries : settings_.longest_;
  auto slow = slow_.find(place);
  if (slow != slow_.end()) {
    wanted = std::max(wanted, slow_margin * slow->second);
  }
  return std::min(wanted, settings_.longest_);
}

auto answer_times::note_answer(const std::string& place, milliseconds took) -> void {
  usual_ms_ += usual_weight * (static_cast<double>(took) - usual_ms_);
  if (took <= settings_.shortest_) {
    slow_.erase(place);
  } else if (settings_.remembers_) {
    slow_[place] = took;
  }
}

auto answer_times::note_silence(const std::string& place, milliseconds limit) -> void {
  if (settings_.remembers_) {
    auto& slow = slow_[place];
    slow = std::max(slow, limit);
  }
}

}  // namespace birchlever

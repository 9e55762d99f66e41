#include "birchlever/accounts/program_size_estimate.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto decay_ms = 60000.0;  // Decay time constant; much longer than a program, so that a burst of new
                                    // programs does not bias the estimate.

}  // namespace

auto program_size_estimate::record(bool starts_program, milliseconds now) -> void {
  auto elapsed = updated_at_ == 0 ? 0 : std::max<milliseconds>(now - updated_at_, 0);
  updated_at_ = now;
  auto decay = std::exp(-static_cast<double>(elapsed) / decay_ms);
  requests_ = requests_ * decay + 1;
  programs_ = programs_ * decay + (starts_program ? 1 : 0);
}

auto program_size_estimate::mean_requests() const -> double {
  return std::max(requests_ / std::max(programs_, 1.0), 1.0);
}

}  // namespace birchlever

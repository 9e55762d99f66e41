#include "birchlever/accounts/program_size_estimate.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto fade_ms = 60000.0;  // Decay time constant; much longer than a program, so that a burst of new
                                   // programs does not bias the estimate.

}  // namespace

auto program_size_estimate::record(bool begins, milliseconds now) -> void {
  auto passed = noted_at_ == 0 ? 0 : std::max<milliseconds>(now - noted_at_, 0);
  noted_at_ = now;
  auto kept = std::exp(-static_cast<double>(passed) / fade_ms);
  requests_ = requests_ * kept + 1;
  programs_ = programs_ * kept + (begins ? 1 : 0);
}

auto program_size_estimate::mean_requests() const -> double {
  return std::max(requests_ / std::max(programs_, 1.0), 1.0);
}

}  // namespace birchlever

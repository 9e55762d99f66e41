#include "birchlever/upstream/cold_start_pace.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
// Two consecutive periods may both be used within one second, so the daemon uses half of its rate.
constexpr auto rate_share = 0.5;
constexpr auto window_ms = 1000.0;

}  // namespace

auto cold_start_window_at(const cold_start_limit& limit, double phase, milliseconds now)
    -> cold_start_window {
  if (limit.per_s_ <= 0) {
    return {true, now};
  }
  auto daemons = static_cast<double>(std::max<std::int64_t>(limit.daemons_, 1));
  auto period = daemons * ms_per_second / (rate_share * limit.per_s_);
  auto periods = static_cast<double>(now) / period + phase;
  auto number = static_cast<std::int64_t>(periods);
  auto offset = (periods - static_cast<double>(number)) * period;
  return {offset < window_ms, number};
}

}  // namespace birchlever

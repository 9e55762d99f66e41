#include "birchlever/gateway/hold_limit.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto first_event_margin_ms = milliseconds{700};  // Reserved for network, queueing and prefill.
constexpr auto max_hold_share = 0.625;  // Of the request's time limit. The rest is for the turn or a retry.

}  // namespace

auto max_stream_hold(const gateway_request& request, milliseconds min_hold) -> milliseconds {
  auto time_limit = static_cast<double>(request.deadline_ - request.received_at_);
  auto by_time_limit = static_cast<milliseconds>(max_hold_share * time_limit);
  auto by_idle_timeout = request.route_->stream_idle_timeout_ - first_event_margin_ms;
  return std::max(min_hold, std::min(by_time_limit, by_idle_timeout));
}

}  // namespace birchlever

#include "birchlever/gateway/caller_patience.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto silence_margin_ms =
    milliseconds{700};              // Until the first event: the way, the queue, the prompt.
constexpr auto held_share = 0.625;  // Of a request's time. The rest holds a turn at a busy engine, some 0.5
                                    // s, and its way, or the caller's way back.

}  // namespace

auto stream_patience(const gateway_request& request, milliseconds least) -> milliseconds {
  auto time = static_cast<double>(request.due_ - request.received_at_);
  auto by_time = static_cast<milliseconds>(held_share * time);
  auto by_silence = request.route_->stream_idle_timeout_ - silence_margin_ms;
  return std::max(least, std::min(by_time, by_silence));
}

}  // namespace birchlever

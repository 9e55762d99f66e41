#include "birchlever/accounts/reachable_share.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto min_complete_ratio = 0.85;  // Tolerates peers that random fan-out happens to leave out.

}  // namespace

auto reachable_share(const peer_reachability& peers) -> double {
  if (peers.live_ == 0 || peers.receiving_for_ < peers.window_) {
    return 1;
  }
  auto live = static_cast<double>(peers.live_);
  auto receive_probability = std::min(1.0, static_cast<double>(peers.fanout_) / live);
  auto messages = static_cast<double>(peers.window_) /
                  static_cast<double>(std::max<milliseconds>(peers.send_interval_, 1));
  auto expected = live * (1 - std::pow(1 - receive_probability, messages));
  auto seen_ratio = static_cast<double>(peers.seen_) / std::max(expected, 1.0);
  if (seen_ratio >= min_complete_ratio) {
    return 1;
  }
  return (1 + seen_ratio * live) / (1 + live);
}

}  // namespace birchlever

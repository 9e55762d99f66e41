#include "birchlever/accounts/reachable_share.h"

#include <algorithm>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto good_share = 0.85;  // Tolerates peers that random fan-out happens to leave out.

}  // namespace

auto reachable_share(const peer_reachability& peers) -> double {
  if (peers.live_ == 0 || peers.receiving_for_ < peers.window_) {
    return 1;
  }
  auto living = static_cast<double>(peers.live_);
  auto told = std::min(1.0, static_cast<double>(peers.fanout_) / living);
  auto messages = static_cast<double>(peers.window_) /
                  static_cast<double>(std::max<milliseconds>(peers.send_interval_, 1));
  auto expected = living * (1 - std::pow(1 - told, messages));
  auto heard = static_cast<double>(peers.seen_) / std::max(expected, 1.0);
  if (heard >= good_share) {
    return 1;
  }
  return (1 + heard * living) / (1 + living);
}

}  // namespace birchlever

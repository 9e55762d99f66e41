/// Estimates the reachable fraction of the fleet, which limits grants during a network partition: if each
/// side grants only its fraction of an allotment, the sum stays within the allotment without any
/// coordination.
#pragma once

#include <cstddef>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Observations of a daemon about its peers.
struct peer_reachability {
  std::size_t live_ = 0;              ///< Peers not yet removed as unresponsive.
  std::size_t seen_ = 0;              ///< Live peers seen within `window_`.
  milliseconds window_ = 0;           ///< Observation window in ms.
  milliseconds receiving_for_ = 0;    ///< ms since this daemon started receiving messages.
  milliseconds send_interval_ = 200;  ///< ms between two messages of a peer.
  std::size_t fanout_ = 16;           ///< Randomly selected receivers of each message.
};

/// Returns the reachable fraction of the fleet, 0 to 1; 1 without peers or before a full window has been
/// observed.
[[nodiscard]] auto reachable_share(const peer_reachability& peers) -> double;

}  // namespace birchlever

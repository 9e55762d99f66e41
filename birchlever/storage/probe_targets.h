/// Selects the partition that a probe of the circuit breaker reads, so that one failing partition does not
/// keep the breaker open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "birchlever/storage/failing_partitions.h"

namespace birchlever {

/// Not thread safe.
class probe_targets {
 public:
  /// Records an answered call, other than a probe.
  auto record_response(const std::string& partition) -> void;

  /// Returns the partition for a probe: none that failed since its last response; the one that answered last
  /// for `number` 0, then others in turn.
  [[nodiscard]] auto select(const failing_partitions& failing, std::uint64_t number) const -> std::string;

 private:
  std::deque<std::string> answered_;  ///< Newest first, each once.
};

}  // namespace birchlever

/// Reports of upstream speeds, exchanged between daemons.
#pragma once

#include <cstddef>
#include <cstdint>

namespace birchlever {

/// Rows in one message at most.
inline constexpr auto max_speed_reports = std::size_t{8};

/// A daemon's own recent observations of one upstream.
struct speed_report {
  std::uint32_t incarnation_ = 0;  ///< Hash of the incarnation. A collision only misleads an estimate.
  double slowness_ = 1;
  double weight_ = 0;
  std::uint32_t count_ = 0;  ///< Observations, modulo 16: equal rows repeat the same observations.

  auto operator==(const speed_report& other) const -> bool = default;
};

/// Counts for metrics.
struct speed_statistics {
  std::int64_t own_observations_ = 0;
  std::int64_t peer_observations_ = 0;
  std::int64_t changes_ = 0;  ///< Notable changes of estimates.
};

}  // namespace birchlever

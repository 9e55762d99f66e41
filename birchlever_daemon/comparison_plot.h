/// A picture of a policy comparison.
#pragma once

#include <string>

namespace birchlever {

/// Writes an SVG with each policy's p95 latency, its confidence interval and its recomputed share. Rows are
/// the JSON rows of `compare policies`. Nothing is written when they hold no policies.
auto write_comparison_plot(const std::string& path, const std::string& rows) -> void;

}  // namespace birchlever

/// Mapping of data halls to regions, and region constraints of requests.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// Immutable mapping of data halls to regions.
class hall_regions {
 public:
  /// Creates an empty mapping, with which region-constrained requests cannot be served.
  hall_regions() = default;

  /// Parses "hall=region,hall=region". Failures: invalid_setting.
  static auto parse(const std::string& text) -> result<hall_regions>;

  /// Returns the region of a hall, or an empty string if it is unknown.
  [[nodiscard]] auto region_of(const std::string& hall) const -> std::string;

 private:
  std::map<std::string, std::string> regions_;
};

/// Regions that may serve a request: the intersection of all added constraints.
class region_constraint {
 public:
  /// Adds a constraint. An empty list adds none.
  auto add(const std::vector<std::string>& allowed) -> void;

  /// Returns true if the region may serve the request. An unknown region violates every constraint.
  [[nodiscard]] auto allow(const std::string& region) const -> bool;

 private:
  bool constrained_ = false;
  std::set<std::string> allowed_;
};

}  // namespace birchlever

/// Which region each data hall lies in, as the settings tell.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// A function of the settings.
class hall_regions {
 public:
  /// Knows no hall: nothing that is bound to regions may be sent anywhere.
  hall_regions() = default;

  /// Reads "hall=region,hall=region". Failures: invalid_setting.
  static auto parse(const std::string& text) -> result<hall_regions>;

  /// The region of a hall; empty when it is not known.
  [[nodiscard]] auto region_of(const std::string& hall) const -> std::string;

 private:
  std::map<std::string, std::string> regions_;
};

/// Regions that a request may be served in. Bounds of a route and of a client account both hold.
class region_bounds {
 public:
  /// Adds a bound; an empty list bounds nothing.
  auto add(const std::vector<std::string>& allowed) -> void;

  /// True when a request may go to a region. One that is not known is outside of every bound.
  [[nodiscard]] auto allow(const std::string& region) const -> bool;

 private:
  bool bound_ = false;
  std::set<std::string> allowed_;
};

}  // namespace birchlever

/// What daemons say of themselves to each other, and its bytes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// A daemon that follows the table of upstreams itself, as others tell of it.
struct told_follower {
  std::string vm_;
  std::string control_address_;
  double cores_ = 0;      ///< Its share of a processor core; 0: not known.
  milliseconds age_ = 0;  ///< ms since it said so.
};

/// What one daemon says of itself.
struct peer_state {
  std::string vm_;
  std::optional<milliseconds>
      store_response_age_;              ///< ms since the store last answered it; none when it never did.
  std::int64_t configuration_ = 0;      ///< Version in force there.
  std::string control_address_;         ///< Where it relays calls to the store, "ip:port".
  std::map<std::string, int> running_;  ///< Requests at each upstream.
  std::uint64_t allowance_ranges_ = 0;  ///< The ranges of allowances that it holds, a bit each.
  std::vector<upstream_news> news_;  ///< What it just learned of upstreams: then nothing else is told. Empty
                                     ///< in regular messages.
  bool follows_ = false;  ///< Looks at the table of upstreams itself, and tells others what changes there.
  std::string region_;    ///< Where it stands; empty where regions are not told apart.
  double cores_ = 0;      ///< Its share of a processor core; 0: not told.
  std::vector<told_follower> followers_;  ///< Others that follow, told on so that all know the same few.
};

/// The bytes of a message.
[[nodiscard]] auto encode(const peer_state& state) -> std::string;

/// Reads a message. Failures: malformed_json.
[[nodiscard]] auto decode_peer_state(std::string_view bytes) -> result<peer_state>;

}  // namespace birchlever

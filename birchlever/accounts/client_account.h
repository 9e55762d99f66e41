/// A client account: who may send requests, how urgent they are, and how many there may be.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace birchlever {

/// How many requests of one account may run, over all daemons together. Turns, tools and repeated tries count
/// alike.
struct account_allotment {
  double rate_per_s_ = 0;  ///< Requests a second; 0 means no limit at all.
  double burst_ = 0;       ///< Requests on top of the rate, at once.

  /// True when the account is limited.
  [[nodiscard]] auto limited() const -> bool { return rate_per_s_ > 0; }

  /// Requests that any span of so many seconds may hold.
  [[nodiscard]] auto most_in(double seconds) const -> double { return rate_per_s_ * seconds + burst_; }
};

/// One account. Plain data; `account_book` checks it.
struct client_account {
  std::string name_;
  std::vector<std::string> key_digests_;  ///< SHA-256 of each of its keys, in hexadecimal.
  std::optional<int> rank_;               ///< 0 is the most urgent; goes before the route's rank.
  account_allotment allotment_;
  std::int64_t max_in_flight_ = 256;          ///< Calls it may have under way on one daemon of `serve`.
  std::vector<std::string> allowed_regions_;  ///< It is served there only; empty: anywhere.
};

}  // namespace birchlever

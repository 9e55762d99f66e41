/// Requests for budget tokens that other daemons drew in advance.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/http/task.h"

namespace birchlever {

/// Tokens of a program's budget that other daemons transferred to this one.
struct transferred_tokens {
  std::int64_t tokens_ = 0;
  std::vector<std::string> recipients_;  ///< Daemons to which the queried holders transferred tokens before.
  bool unaccounted_ = false;             ///< A holder was unreachable, or has restarted since it drew.
};

/// Implemented by the daemon. Used by program_store when its drawn tokens of a program do not suffice.
class budget_peers {
 public:
  virtual ~budget_peers() = default;

  /// Requests the given number of tokens from each holder, or from nearby daemons if `holders` is empty.
  virtual auto request_tokens(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens> = 0;

  /// Requests a reservation that another daemon holds for the program's next turn. Returns true if the holder
  /// transferred it; no other daemon uses it from then on.
  virtual auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> = 0;

  /// Requests the program's one-time allowance from the daemon that holds its range (see allowance_ranges).
  /// Returns the tokens granted, 0 if there are none or the daemon is unknown.
  virtual auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> = 0;
};

}  // namespace birchlever

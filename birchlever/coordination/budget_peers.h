/// Requests for budget tokens that other daemons drew in advance, and for reservations that they leased.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/coordination/lease_answer.h"
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

  /// Returns a live daemon that can witness the use of a lease, if there is one.
  virtual auto choose_witness() -> std::optional<std::string> = 0;

  /// Records with the witness that a turn starts under the lease; kept for `keep_for` ms. Returns false if
  /// the witness refuses or does not respond; the turn must not start under the lease then.
  virtual auto record_lease_use(std::string lease, std::string witness, milliseconds keep_for)
      -> task<bool> = 0;

  /// Asks a daemon that holds the lease, or received it, whether it uses it. If not, it never will. Returns
  /// `lost` if a later incarnation of the daemon responds.
  virtual auto inquire_lease(std::string program_key, std::string lease, std::string daemon,
                             milliseconds keep_for) -> task<lease_answer> = 0;

  /// Asks the witness to record no use of the lease from now on. Returns `lost` if a later incarnation of the
  /// witness responds.
  virtual auto revoke_lease(std::string lease, std::string witness, milliseconds keep_for)
      -> task<lease_answer> = 0;

  /// Requests the program's one-time allowance from the daemon that holds its range (see allowance_ranges).
  /// Returns the tokens granted, 0 if there are none or the daemon is unknown.
  virtual auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> = 0;
};

}  // namespace birchlever

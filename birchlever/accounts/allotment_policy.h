/// How the allotment of a client account is kept by all daemons together. Two ways stand behind this
/// interface: `equal_shares` and `central_grants`.
#pragma once

#include <string>

#include "birchlever/accounts/client_account.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// A request that wants a place in its account's allotment.
struct allotment_claim {
  std::string account_;
  account_allotment allotment_;
  bool begins_program_ = false;  ///< More requests of the same program will follow, if this one runs.
  double program_requests_ = 1;  ///< So many at the mean, this one included.
  milliseconds program_ms_ = 0;  ///< Within so long.
};

/// The answer to a claim.
struct allotment_verdict {
  bool granted_ = false;
  milliseconds wait_ = 0;         ///< Granted: ms until the request may be sent on.
  milliseconds retry_after_ = 0;  ///< Refused: ms after which the allotment has room, as far as is known.
};

/// For coroutines of one loop.
class allotment_policy {
 public:
  virtual ~allotment_policy() = default;

  /// Takes one request's place, or refuses it.
  virtual auto claim(allotment_claim wanted) -> task<allotment_verdict> = 0;
};

}  // namespace birchlever

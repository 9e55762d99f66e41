/// Interface for enforcing the allotments of client accounts across all daemons. Implemented by
/// `equal_shares` and `central_grants`.
#pragma once

#include <string>

#include "birchlever/accounts/client_account.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/task.h"

namespace birchlever {

/// Asks for one request to be counted against its account's allotment.
struct allotment_claim {
  std::string account_;
  account_allotment allotment_;
  bool starts_program_ = false;         ///< First request of a program.
  double expected_requests_ = 1;        ///< Expected number of requests of the program, this one included.
  milliseconds expected_duration_ = 0;  ///< Expected duration of the program in ms.
};

/// Whether a request is granted under the account's allotment, and when it may be forwarded or retried.
struct allotment_decision {
  bool granted_ = false;
  milliseconds wait_ = 0;         ///< If granted: ms to wait before the request is forwarded.
  milliseconds retry_after_ = 0;  ///< If refused: estimated ms until a claim can be granted.
};

/// Not thread-safe; use from one event loop.
class allotment_policy {
 public:
  virtual ~allotment_policy() = default;

  /// Grants or refuses one request.
  virtual auto claim(allotment_claim wanted) -> task<allotment_decision> = 0;
};

}  // namespace birchlever

/// Datagrams that daemons exchange about account allotments, and their encoding.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "birchlever/accounts/allotment_policy.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Requests a slot in an account's allotment. The grantor applies its own configured limit.
struct allotment_request {
  std::uint64_t number_ = 0;  ///< Request id; a retransmission gets the same reply.
  std::string account_;
  bool starts_program_ = false;
  double program_requests_ = 1;
  milliseconds program_ms_ = 0;
  double granted_without_grantor_ = 0;  ///< Granted by the sender while no grantor replied, not reported yet.
};

/// The reply to an allotment_request.
struct allotment_reply {
  std::uint64_t number_ = 0;
  bool has_limit_ = false;  ///< The account has a limit in the grantor's configuration.
  allotment_decision decision_;
};

/// Reports requests that a backup grantor granted, so that the primary grantor deducts them.
struct allotment_debit {
  std::string account_;
  double tokens_ = 0;
};

using allotment_message = std::variant<allotment_request, allotment_reply, allotment_debit>;

/// Encodes a message as CBOR.
[[nodiscard]] auto encode(const allotment_message& message) -> std::string;

/// Decodes a message. Failures: malformed_json.
[[nodiscard]] auto decode_allotment_message(std::string_view bytes) -> result<allotment_message>;

}  // namespace birchlever

/// What daemons say to each other about allotments, and its bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "birchlever/accounts/allotment_policy.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Asks for one request's place. The limit itself is the grantor's to know.
struct allotment_ask {
  std::uint64_t number_ = 0;  ///< Names the ask; a repeated one is answered alike.
  std::string account_;
  bool begins_program_ = false;
  double program_requests_ = 1;
  milliseconds program_ms_ = 0;
  double granted_alone_ =
      0;  ///< Requests that the asker granted by itself while nobody answered, untold yet.
};

/// The answer to an ask.
struct allotment_answer {
  std::uint64_t number_ = 0;
  bool known_ = false;  ///< The account has a limit where it was asked.
  allotment_decision verdict_;
};

/// So many were granted by a daemon that stands in for the one told.
struct allotment_debit {
  std::string account_;
  double tokens_ = 0;
};

using allotment_message = std::variant<allotment_ask, allotment_answer, allotment_debit>;

/// The bytes of a message.
[[nodiscard]] auto encode(const allotment_message& message) -> std::string;

/// Reads a message. Failures: malformed_json.
[[nodiscard]] auto decode_allotment_message(std::string_view bytes) -> result<allotment_message>;

}  // namespace birchlever

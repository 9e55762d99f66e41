/// Journal records: the durable events of programs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// Event of a record. The numeric values are stored; do not reorder.
enum class record_kind {
  program_opened,   ///< A program was created with its budget and first reserved slice.
  budget_reserved,  ///< The program may have spent up to `reserved` tokens.
  call_intended,    ///< A non-repeatable call is about to be sent.
  call_answered,    ///< A call has its answer.
  call_charged,     ///< An attempt failed after it may have run; its full cost counts as spent.
  call_voided,      ///< An intended call is known not to have run.
  program_ended,    ///< No further calls; engine memory can be released.
};

/// One record. Fields that a kind does not use keep their defaults and are not stored.
struct journal_record {
  record_kind kind_ = record_kind::program_opened;
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int32_t parent_ = 0;
  std::int64_t budget_ = 0;      ///< Total tokens the program may spend.
  std::int64_t reserved_ = 0;    ///< Tokens the program may have spent so far.
  std::int64_t tokens_ = 0;      ///< Tokens this call spent.
  std::int64_t max_tokens_ = 0;  ///< Tokens this call could have spent.
  std::uint64_t digest_ = 0;     ///< Hash of the request, to distinguish a duplicate from another call.
  std::int64_t epoch_ = 0;       ///< Epoch that dispatched the attempt.
  std::int64_t sequence_ = 0;    ///< Fencing number of the attempt.
  std::string upstream_;
  std::string key_;         ///< Idempotency key sent to the upstream.
  std::string request_id_;  ///< Id of the request that received the ticket.
  std::string policy_;      ///< Policy the program was started under.
  std::string answer_;      ///< The complete body of the answer.
  std::string reason_;      ///< Why the program ended.
};

/// Returns the stable name of a record kind.
[[nodiscard]] auto name_of(record_kind kind) -> std::string_view;

/// Serializes a batch of records as the text of one journal row.
[[nodiscard]] auto to_text(const std::vector<journal_record>& records) -> std::string;

/// Parses a journal row. Failures: malformed_json.
[[nodiscard]] auto parse_records(const std::string& text) -> result<std::vector<journal_record>>;

}  // namespace birchlever

/// The durable facts about programs, as the journal keeps them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// What a record says happened.
enum class record_kind {
  program_opened,   ///< A program exists, with its budget and first reserved slice.
  budget_reserved,  ///< The program may have spent up to `reserved` tokens.
  call_intended,    ///< A call that may not be repeated is about to be sent.
  call_answered,    ///< A call has its answer.
  call_charged,     ///< An attempt failed after it may have run; its full cost counts as spent.
  call_voided,      ///< An intended call certainly did not run.
  program_ended,    ///< No further calls; engine memory is to be released.
};

/// One fact. Fields that a kind does not need stay at their defaults and are not stored.
struct journal_record {
  record_kind kind_ = record_kind::program_opened;
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int32_t parent_ = 0;
  std::int64_t budget_ = 0;      ///< Tokens the program may spend in all.
  std::int64_t reserved_ = 0;    ///< Tokens the program may have spent by now.
  std::int64_t tokens_ = 0;      ///< Tokens this call spent.
  std::int64_t max_tokens_ = 0;  ///< Tokens this call could have spent.
  std::uint64_t digest_ = 0;     ///< Hash of the request, to tell a duplicate from another call.
  std::int64_t epoch_ = 0;       ///< Epoch that dispatched the attempt.
  std::int64_t sequence_ = 0;    ///< Fencing number of the attempt.
  std::string upstream_;
  std::string key_;         ///< Idempotency key sent to the upstream.
  std::string request_id_;  ///< Of the request that got the ticket.
  std::string policy_;      ///< Policy the program began under.
  std::string answer_;      ///< The answer's whole body.
  std::string reason_;      ///< Why the program ended.
};

/// The stable name of a record kind.
[[nodiscard]] auto name_of(record_kind kind) -> std::string_view;

/// A batch of records as the text of one journal row.
[[nodiscard]] auto to_text(const std::vector<journal_record>& records) -> std::string;

/// Reads a journal row. Failures: malformed_json.
[[nodiscard]] auto parse_records(const std::string& text) -> result<std::vector<journal_record>>;

}  // namespace birchlever

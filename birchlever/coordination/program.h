/// State of an agent program at the owner of its shard.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "birchlever/coordination/budget_account.h"
#include "birchlever/core/clock.h"

namespace birchlever {

/// Phase of a call. The numeric values are stored in snapshots; do not reorder.
enum class call_phase {
  committing,  ///< Waiting for records that must be durable before its dispatch.
  dispatched,  ///< A ticket was issued; the upstream has not confirmed the call.
  accepted,    ///< The upstream confirmed the call; the next one may be dispatched.
  answered,    ///< The answer is durable.
  failed,      ///< An attempt failed; a repeatable call may be retried.
  unresolved,  ///< Intended and not repeatable; it is unknown whether it ran.
};

/// Location of an answer that was moved out of memory.
struct answer_location {
  std::string segment_;
  std::int64_t offset_ = 0;
  std::int64_t length_ = 0;
};

/// One call of a program.
struct program_call {
  std::int32_t number_ = 0;
  std::int32_t parent_ = 0;
  call_phase phase_ = call_phase::committing;
  bool repeatable_ = true;
  bool accepted_ = false;        ///< An attempt was confirmed by its upstream.
  std::int64_t max_tokens_ = 0;  ///< Tokens that the current attempt may spend.
  std::int64_t tokens_ = 0;      ///< Tokens that the call spent.
  std::uint64_t digest_ = 0;
  std::int64_t sequence_ = 0;  ///< Fencing number of the current attempt.
  std::string upstream_;
  std::string key_;
  std::string request_id_;  ///< Id of the request that received the current ticket.
  bool reported_unknown_ =
      false;  ///< Another request was told that the outcome is unknown; its caller may continue.
  milliseconds expires_at_ = 0;  ///< When the current attempt times out.
  std::string answer_;
  answer_location location_;
};

/// A program: its calls, its budget, and the engines that may hold memory for it.
struct program {
  std::string account_;
  std::string id_;
  std::string policy_;
  budget_account budget_;
  std::map<std::int32_t, program_call> calls_;
  std::set<std::string> upstreams_;  ///< Upstreams that may hold memory for the program.
  bool durable_ = false;             ///< The record that opens the program is in the journal.
  bool ended_ = false;
  std::string end_reason_;
  bool ephemeral_ = false;        ///< A single call without a program identity; nothing of it is durable.
  milliseconds last_active_ = 0;  ///< On the owner's clock.
  milliseconds started_at_ = 0;   ///< On the owner's clock; 0 if it started under another owner.
  std::map<std::uint64_t, int> digests_;  ///< Number of dispatches by request hash, to detect loops.

  // Inputs of scheduling policies.
  std::int64_t attained_tokens_ = 0;  ///< Tokens generated for the program so far.
  std::int64_t prompt_tokens_ = 0;    ///< Length of the newest history.
  std::string last_upstream_;         ///< Engine that most likely caches its prefix.
  milliseconds last_answer_at_ = 0;

  /// Returns the highest call number known; 0 if there are no calls.
  [[nodiscard]] auto highest_call() const -> std::int32_t {
    return calls_.empty() ? 0 : calls_.rbegin()->first;
  }
};

}  // namespace birchlever

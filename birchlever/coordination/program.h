/// One agent program as its shard's owner knows it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "birchlever/coordination/budget_account.h"
#include "birchlever/core/clock.h"

namespace birchlever {

/// Where a call stands.
enum class call_phase {
  committing,  ///< Waiting for records that must be durable before its dispatch.
  dispatched,  ///< A ticket was given out; the upstream has not confirmed it.
  accepted,    ///< The upstream confirmed it; the next call may be dispatched.
  answered,    ///< Its answer is durable.
  failed,      ///< An attempt failed; a repeatable call may be tried again.
  unresolved,  ///< Not repeatable, intended, and no one knows whether it ran.
};

/// Where an answer is kept once it has moved out of memory.
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
  bool accepted_ = false;        ///< Some attempt was confirmed by its upstream.
  std::int64_t max_tokens_ = 0;  ///< What the current attempt could spend.
  std::int64_t tokens_ = 0;      ///< What the call spent.
  std::uint64_t digest_ = 0;
  std::int64_t sequence_ = 0;  ///< Fencing number of the current attempt.
  std::string upstream_;
  std::string key_;
  std::string request_id_;       ///< Of the request that got the current ticket.
  bool told_unknown_ = false;    ///< Another request heard that the outcome is unknown; it may have gone on.
  milliseconds expires_at_ = 0;  ///< When the current attempt is given up.
  std::string answer_;
  answer_location location_;
};

/// One program: its calls, its budget, and the engines that hold memory for it.
struct program {
  std::string account_;
  std::string id_;
  std::string policy_;
  budget_account budget_;
  std::map<std::int32_t, program_call> calls_;
  std::set<std::string> upstreams_;  ///< Upstreams that may hold memory for it.
  bool durable_ = false;             ///< Its opening is in the journal.
  bool ended_ = false;
  std::string end_reason_;
  bool ephemeral_ = false;                ///< A single call without an identity; nothing of it is durable.
  milliseconds last_active_ = 0;          ///< On the owner's clock.
  milliseconds started_at_ = 0;           ///< On the owner's clock; zero when it began under another owner.
  std::map<std::uint64_t, int> digests_;  ///< How often each request came, to find loops.

  // What policies look at.
  std::int64_t attained_tokens_ = 0;  ///< Service received so far.
  std::int64_t prompt_tokens_ = 0;    ///< Length of the newest history.
  std::string last_upstream_;         ///< Engine that most likely holds its prefix.
  milliseconds last_answer_at_ = 0;

  /// The highest call number that was ever dispatched or answered.
  [[nodiscard]] auto highest_call() const -> std::int32_t {
    return calls_.empty() ? 0 : calls_.rbegin()->first;
  }
};

}  // namespace birchlever

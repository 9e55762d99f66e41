/// What entry daemons and shard owners say to each other, inside a process and across.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "birchlever/coordination/program_ledger.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// A call that asks its shard's owner for a ticket.
struct open_request {
  call_request order_;
  std::string request_id_;  ///< Asking twice with the same id gives the same ticket.
  std::string model_;
  std::string service_;  ///< Plain service; empty for engines.
  std::string data_hall_;
  std::vector<std::uint64_t> prefix_hashes_;  ///< Of the prompt's blocks, each over all before it.
  std::vector<std::string> avoid_;            ///< Upstreams that failed this call.
  double account_share_ = 1;
  std::string traceparent_;
};

/// Permission to send one attempt to one upstream.
struct dispatch_ticket {
  call_ticket call_;
  std::string upstream_;
  endpoint address_;
  int priority_ = 0;
  milliseconds send_within_ = 0;
  milliseconds waited_ = 0;  ///< Time the request spent at the owner.
  std::string policy_;
};

/// An answer that was given before.
struct replayed_answer {
  std::string answer_;
};

/// The owner's word on an open request.
using open_reply = result<std::variant<dispatch_ticket, replayed_answer>>;

/// The owner's word on a settlement: the answer that stands, if it is not the reported one.
using settle_reply = result<replayed_answer>;

/// A call that an upstream confirmed, with what a new owner needs to adopt it.
struct accepted_report {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t epoch_ = 0;
  std::uint64_t digest_ = 0;
  std::int64_t max_tokens_ = 0;
  bool repeatable_ = true;
  std::string upstream_;
};

/// A settlement with what only policies and metrics care about.
struct settle_request {
  call_settlement report_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  std::vector<std::uint64_t> prefix_hashes_;
  bool last_ = false;  ///< The program ends with this call.
};

/// A request about a program as a whole.
struct program_request {
  std::string account_;
  std::string program_;
  std::int64_t budget_ = 0;
};

}  // namespace birchlever

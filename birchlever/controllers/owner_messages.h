/// Messages between entry daemons and shard owners, within a process and across processes.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "birchlever/coordination/program_ledger.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// Requests a ticket for a call from its shard's owner.
struct open_request {
  call_request order_;
  std::string request_id_;  ///< Repeated requests with the same id get the same ticket.
  std::string model_;
  std::string service_;  ///< Name of the plain service; empty for engines.
  std::string data_hall_;
  std::vector<std::uint64_t> prefix_hashes_;  ///< By prompt block; each covers all blocks up to its own.
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
  milliseconds waited_ = 0;  ///< Time the request spent at the owner, in ms.
  std::string policy_;
};

/// The recorded answer of a call that was already executed.
struct replayed_answer {
  std::string answer_;
};

/// The owner's reply to an open_request.
using open_reply = result<std::variant<dispatch_ticket, replayed_answer>>;

/// The owner's reply to a settlement: the recorded answer if it differs from the reported one.
using settle_reply = result<replayed_answer>;

/// Reports a call that an upstream accepted, with the data a new owner needs to adopt it.
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

/// A settlement with additional data for policies and metrics.
struct settle_request {
  call_settlement report_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  std::vector<std::uint64_t> prefix_hashes_;
  bool last_ = false;  ///< The program ends with this call.
};

/// A request about a program.
struct program_request {
  std::string account_;
  std::string program_;
  std::int64_t budget_ = 0;
};

}  // namespace birchlever

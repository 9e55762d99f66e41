/// The state of a request while it passes through the gateway's filters.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "birchlever/coordination/serving_configuration.h"
#include "birchlever/core/memory_claim.h"
#include "birchlever/gateway/request_dialect.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

/// The part of a stream that was relayed to the caller.
struct relayed_stream {
  std::string output_;  ///< Data of the events, each terminated by a line feed.
  std::int64_t events_ = 0;
  std::optional<std::int64_t> last_event_;  ///< Last event sent to the caller by any attempt.
  bool complete_ = false;                   ///< The response was received to its end.
  bool reached_upstream_ = false;           ///< The request was sent and may have run.
  bool interrupted_by_upstream_ = false;
  std::string upstream_;
};

/// Lives as long as the coroutine that serves the request.
struct gateway_request {
  std::shared_ptr<server_connection> connection_;
  std::shared_ptr<const serving_configuration> configuration_;
  http_request message_;
  request_metadata metadata_;
  const route* route_ = nullptr;             ///< Points into configuration_.
  const client_account* account_ = nullptr;  ///< Points into configuration_; may be null.
  std::string service_;
  std::string fingerprint_;                     ///< Equal for all attempts of one piece of work.
  std::string content_fingerprint_;             ///< Equal for all requests of the same content.
  int content_round_ = 1;                       ///< Of the latest send, see send_record.
  std::shared_ptr<bool> send_runs_;             ///< Whether the latest send has no outcome yet.
  std::set<std::string> counted_before_;        ///< Fingerprints of which an earlier send to the selected
                                                ///< upstream counts.
  std::string last_upstream_;                   ///< Upstream that ran the previous turn.
  std::string reservation_;                     ///< Id of the reservation of the turn's budget.
  std::optional<std::int64_t> granted_tokens_;  ///< Limit of tokens sent to the caller. Below the turn's
                                                ///< maximum if the budget was not fully granted.
  milliseconds received_at_ = 0;
  milliseconds deadline_ = 0;  ///< Time by which the final response must be sent.
  bool keep_alive_ = true;
  bool response_started_ = false;  ///< Part of a response has been sent.
  int final_status_ = 0;           ///< Status sent to the caller; 0 until then.
  relayed_stream relayed_;
  std::shared_ptr<memory_claim> memory_;  ///< What the request holds of the process's memory.

  /// Called when a stream is complete, before its end is sent. If it yields false, the stream is aborted
  /// instead.
  std::function<task<bool>(gateway_request&)> before_stream_end_;

  /// Claims the memory of the request's body, of which the stored turn and the upstream get copies, and of
  /// `response_bytes` received so far.
  auto claim_memory(std::size_t response_bytes = 0) -> void {
    memory_->resize(body_copies * message_.body().size() + response_bytes);
  }

  /// Returns the memory of a request whose body is `history` bytes longer once the history is added.
  [[nodiscard]] auto memory_with_history(std::size_t history) const -> std::size_t {
    return body_copies * (message_.body().size() + history) + history;  // The cache holds one more.
  }

  static constexpr auto body_copies = std::size_t{3};

  /// Returns the name of the caller's account, or an empty string.
  [[nodiscard]] auto account_name() const -> std::string {
    return account_ == nullptr ? std::string{} : account_->name_;
  }
};

}  // namespace birchlever

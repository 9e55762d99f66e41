/// One attempt to run a request on one upstream.
#pragma once

#include <memory>
#include <optional>

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/request_dialect.h"
#include "birchlever/http/event_stream.h"
#include "birchlever/http/outgoing_connection.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// How an attempt ended.
enum class attempt_outcome {
  relayed,       ///< The response was relayed completely.
  not_reached,   ///< No connection; not run.
  refused_full,  ///< Rejected for lack of capacity; not run.
  refused,       ///< Rejected for another reason; not run.
  unknown,       ///< May have run; nothing was sent to the caller.
  out_of_time,   ///< The deadline passed; may have run.
  broken_off,    ///< The stream was interrupted after part of it was relayed.
  caller_gone,   ///< The caller disconnected.
  withheld,      ///< Not sent: too many upstreams ended under the request.
};

/// Returns the name of an outcome in logs and metrics.
[[nodiscard]] auto name_of(attempt_outcome outcome) -> std::string_view;

/// Sends a request and relays the response if it comes from the expected upstream. Each object is used once.
class upstream_attempt {
 public:
  /// `sent_at` identifies the request in the upstream directory; `progress` is null if speeds are not
  /// learned.
  upstream_attempt(gateway_context& context, gateway_request& request, upstream& target, milliseconds sent_at,
                   std::shared_ptr<request_progress> progress = nullptr)
      : context_{&context},
        request_{&request},
        target_{&target},
        sent_at_{sent_at},
        progress_{std::move(progress)} {}

  /// Sends the request and relays the response. Ends at once if the upstream is replaced by a new
  /// incarnation.
  auto run() -> task<attempt_outcome>;

  /// Returns why the exchange with the upstream ended early, if it did.
  [[nodiscard]] auto fault() const -> std::optional<exchange_fault> { return fault_; }

 private:
  /// Connects and sends the request. Yields an outcome if that failed.
  auto send() -> task<std::optional<attempt_outcome>>;
  auto relay() -> task<attempt_outcome>;

  /// Reads the head of the response to this request. Skips late copies of responses to earlier requests on
  /// the connection, which are told apart by their request id.
  auto read_own_head() -> task<exchanged<http_response>>;
  auto log_skipped(unsigned status, const response_metadata& metadata) const -> void;
  auto reject_response(unsigned status, const response_metadata& metadata) -> attempt_outcome;

  /// Reads the rest of a response that says that the request did not run.
  auto finish_refusal(unsigned status) -> task<attempt_outcome>;

  /// Closes the idle connections to the upstream that were not used while this attempt got no response for
  /// `waited` ms: its connection may have gone silent, and these with it, while new ones work.
  auto close_unused_connections(exchange_fault fault, milliseconds waited) -> void;
  auto build_request() const -> std::shared_ptr<const http_request>;
  auto classify(exchange_fault fault) -> attempt_outcome;
  auto relay_response(http_response head) -> task<attempt_outcome>;

  /// Reads the body of a response. Reading pauses while the process is out of memory.
  auto read_body() -> task<exchanged<std::string>>;

  /// Lets the connection to the caller be closed when memory runs out and the caller has read nothing for a
  /// while.
  auto allow_revocation() -> void;

  /// Waits until there is memory for more of the response, at most until the deadline.
  auto await_memory() -> task<>;
  auto write_stream_head(http_response head) -> task<bool>;
  auto relay_stream(http_response head) -> task<attempt_outcome>;
  auto append_events(std::string_view bytes, std::string& out) -> bool;

  /// Returns the number of tokens that one event of the stream represents.
  auto tokens_per_event() const -> std::int64_t;
  auto finish_stream() -> task<attempt_outcome>;

  /// Returns true if another event would exceed the tokens granted to a turn, where these are below its
  /// maximum.
  auto exceeds_grant() const -> bool;

  /// Returns true if the upstream sends more than a stream or an event may hold.
  auto exceeds_limits() const -> bool;
  auto record_interruption(std::string_view reason, bool by_upstream) -> attempt_outcome;

  gateway_context* context_;
  gateway_request* request_;
  upstream* target_;
  milliseconds sent_at_;
  std::shared_ptr<request_progress> progress_;
  std::shared_ptr<outgoing_connection> connection_;
  event_stream events_;
  std::optional<exchange_fault> fault_;
  milliseconds blocked_ = 0;  ///< Time for which the caller accepted no data, not yet recorded.
};

}  // namespace birchlever

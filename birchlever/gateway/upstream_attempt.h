/// One request offered to one upstream: sent, judged, and its answer relayed if it is the upstream's own.
#pragma once

#include <memory>
#include <optional>

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/http/event_stream.h"
#include "birchlever/http/outgoing_connection.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// How an offer ended.
enum class offer_outcome {
  relayed,       ///< The caller has the whole answer, or a success that can't be taken back.
  not_reached,   ///< No connection: surely not run.
  refused_full,  ///< The upstream says that it did not run it.
  refused,       ///< Likewise, for another reason than load.
  unknown,       ///< It may have run; nothing went to the caller.
  out_of_time,   ///< The deadline passed; it may have run.
  broken_off,    ///< The stream ended midway; what came before is with the caller.
  caller_gone,
};

/// The stable name of an outcome.
[[nodiscard]] auto name_of(offer_outcome outcome) -> std::string_view;

/// Used once.
class upstream_offer {
 public:
  /// `sent_at` is what the directory named the request by.
  upstream_offer(gateway_context& context, gateway_request& request, upstream& target, milliseconds sent_at)
      : context_{&context}, request_{&request}, target_{&target}, sent_at_{sent_at} {}

  /// Sends the request and relays its answer. When another start takes the upstream's place, what runs there
  /// is lost, and this ends at once.
  auto run() -> task<offer_outcome>;

 private:
  /// Connects and sends. Yields an outcome when that was not possible.
  auto send() -> task<std::optional<offer_outcome>>;
  auto relay() -> task<offer_outcome>;
  auto message() const -> std::shared_ptr<const http_request>;
  auto judge(exchange_fault fault) const -> offer_outcome;
  auto relay_whole(http_response head) -> task<offer_outcome>;
  auto write_stream_head(http_response head) -> task<bool>;
  auto relay_stream(http_response head) -> task<offer_outcome>;
  auto take_events(std::string_view bytes, std::string& out) -> bool;
  auto finish_stream() -> task<offer_outcome>;
  /// True when one more event would hand out more than was granted, of a turn that got less than its most.
  auto beyond_grant() const -> bool;
  auto break_off(std::string_view reason, bool by_upstream) -> offer_outcome;

  gateway_context* context_;
  gateway_request* request_;
  upstream* target_;
  milliseconds sent_at_;
  std::shared_ptr<outgoing_connection> connection_;
  event_stream events_;
};

}  // namespace birchlever

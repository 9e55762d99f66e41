#include "birchlever/gateway/upstream_attempt.h"

#include <array>

#include "birchlever/http/connection_pool.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto any_age = milliseconds{3'600'000};  // A request that may run twice takes any kept connection.
constexpr auto least_urgent = 9;                   // Upstreams know the ranks 0 to 9.
constexpr auto ranks_within_account = 3;           // Three ranks of accounts with three of routes each.
constexpr auto most_refusal_bytes = std::size_t{65536};

auto is_success(const http_response& head) -> bool {
  return http::to_status_class(head.result()) == http::status_class::successful;
}

/// Statuses that promise a caller that nothing ran; only a refusal that says so may carry them on.
auto promises_not_run(unsigned status) -> bool {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/// An account's rank goes before its route's; among requests of one rank the route's decides.
auto urgency_of(const gateway_request& request) -> int {
  auto route_rank = std::clamp(request.route_->rank_, 0, least_urgent);
  if (request.account_ == nullptr || !request.account_->rank_) {
    return route_rank;
  }
  auto within = std::min(route_rank, ranks_within_account - 1);
  return std::clamp(*request.account_->rank_ * ranks_within_account + within, 0, least_urgent);
}

auto has_no_body(const http_response& head) -> bool {
  return head.result() == http::status::no_content || head.result() == http::status::not_modified;
}

}  // namespace

auto name_of(offer_outcome outcome) -> std::string_view {
  constexpr auto names =
      std::array<std::string_view, 8>{"relayed", "not_reached", "refused_full", "refused",
                                      "unknown", "out_of_time", "broken_off",   "caller_gone"};
  return names.at(static_cast<std::size_t>(outcome));
}

auto upstream_offer::message() const -> std::shared_ptr<const http_request> {
  auto copy = std::make_shared<http_request>(request_->message_);
  remove_hop_by_hop(*copy);
  auto marks = upstream_headers{};
  marks.time_left_ =
      std::max<milliseconds>(request_->due_ - context_->clock_.now() - context_->limits_.safety_ms_, 1);
  marks.expected_upstream_ = target_->entry().id_;
  marks.urgency_ = urgency_of(*request_);
  marks.account_ = request_->account_name();
  marks.last_event_ = request_->relayed_.last_event_;
  context_->dialect_->set_upstream_headers(*copy, marks);
  copy->version(11);
  copy->erase(http::field::expect);
  auto had_length = request_->message_.has_content_length() || request_->message_.chunked();
  copy->erase(http::field::content_length);
  if (had_length || !copy->body().empty()) {
    copy->content_length(copy->body().size());
  }
  return copy;
}

auto upstream_offer::judge(exchange_fault fault) const -> offer_outcome {
  switch (fault) {
    case exchange_fault::not_connected:
      return offer_outcome::not_reached;
    case exchange_fault::timed_out:
      return offer_outcome::out_of_time;
    case exchange_fault::aborted:  // By a caller that left, or since the upstream has started again.
      return request_->connection_->gone() ? offer_outcome::caller_gone : offer_outcome::unknown;
    case exchange_fault::closed_unasked:
    case exchange_fault::broken:
    case exchange_fault::malformed:
      break;
  }
  return offer_outcome::unknown;
}

auto upstream_offer::run() -> task<offer_outcome> {
  auto refused = co_await send();
  if (refused) {
    co_return *refused;
  }
  auto watch = target_->on_replaced([connection = connection_] { connection->abort(); });
  auto outcome = co_await relay();
  target_->forget_callback(watch);
  co_return outcome;
}

auto upstream_offer::send() -> task<std::optional<offer_outcome>> {
  auto may_repeat = request_->route_->kind_ == route_kind::safe || request_->route_->resumable_;
  auto most_idle = may_repeat ? any_age : context_->limits_.streaming_max_idle_ms_;
  auto left = request_->due_ - context_->clock_.now();
  auto address = target_->entry().address_;
  auto taken = co_await context_->upstream_connections_->take(address, most_idle, left);
  if (auto* fault = std::get_if<exchange_fault>(&taken)) {
    co_return judge(*fault);
  }
  connection_ = std::get<0>(taken);
  if (!target_->takes_requests() || request_->connection_->gone()) {
    context_->upstream_connections_->give_back(address, connection_);
    co_return target_->takes_requests() ? offer_outcome::caller_gone : offer_outcome::refused;
  }
  request_->connection_->on_gone([connection = connection_] { connection->abort(); });
  connection_->send(message(), request_->due_ - context_->clock_.now());
  request_->relayed_.reached_upstream_ = true;
  co_return std::nullopt;
}

auto upstream_offer::relay() -> task<offer_outcome> {
  auto address = target_->entry().address_;
  auto read = co_await connection_->read_head();
  if (auto* fault = std::get_if<exchange_fault>(&read)) {
    connection_->abort();
    co_return judge(*fault);
  }
  context_->upstreams_->answered(*target_, sent_at_);
  auto& head = std::get<http_response>(read);
  auto facts = context_->dialect_->read_response(head);
  if (facts.not_executed_) {
    auto rest = co_await connection_->read_rest(most_refusal_bytes);
    if (std::holds_alternative<exchange_fault>(rest)) {
      connection_->abort();
    } else {
      context_->upstream_connections_->give_back(address, connection_);
    }
    auto full = head.result_int() == 503 || head.result_int() == 429;
    co_return full ? offer_outcome::refused_full : offer_outcome::refused;
  }
  auto ours = facts.request_id_ == request_->facts_.request_id_;
  auto believable = is_success(head) ? facts.has_signature_ : !promises_not_run(head.result_int());
  if (!ours || !believable) {
    log_event(log_level::warning, "answer_not_ours",
              {{"request", request_->facts_.request_id_},
               {"upstream", target_->entry().id_},
               {"status", std::int64_t{head.result_int()}},
               {"answers", facts.request_id_},
               {"proven", facts.has_signature_}});
    connection_->abort();
    co_return offer_outcome::unknown;
  }
  auto keep = connection_;
  auto outcome = offer_outcome::relayed;
  if (is_success(head) && request_->route_->kind_ == route_kind::streaming) {
    outcome = co_await relay_stream(std::move(head));
  } else if (request_->answered_) {
    outcome = offer_outcome::unknown;  // A failure can't follow the beginning of a stream.
  } else {
    outcome = co_await relay_whole(std::move(head));
  }
  if (outcome == offer_outcome::relayed) {
    context_->upstream_connections_->give_back(address, keep);
  } else {
    keep->abort();
  }
  co_return outcome;
}

auto upstream_offer::relay_whole(http_response head) -> task<offer_outcome> {
  auto rest = co_await connection_->read_rest(context_->limits_.most_answer_bytes_);
  if (auto* fault = std::get_if<exchange_fault>(&rest)) {
    co_return judge(*fault);
  }
  remove_hop_by_hop(head);
  context_->dialect_->strip_response(head);
  head.version(11);
  head.body() = std::move(std::get<std::string>(rest));
  if (request_->message_.method() != http::verb::head && !has_no_body(head)) {
    head.content_length(head.body().size());
  }
  head.keep_alive(request_->keep_alive_ && !context_->stopping_);
  request_->keep_alive_ = head.keep_alive();
  request_->answered_ = true;
  request_->final_status_ = static_cast<int>(head.result_int());
  request_->relayed_.whole_ = is_success(head);
  request_->connection_->on_gone(nullptr);
  co_await request_->connection_->write(std::move(head));
  co_return offer_outcome::relayed;
}

auto upstream_offer::take_events(std::string_view bytes, std::string& out) -> bool {
  auto& relayed = request_->relayed_;
  for (auto& event : events_.feed(bytes)) {
    auto gap = event.id_ && relayed.last_event_ && *event.id_ != *relayed.last_event_ + 1;
    if (gap || beyond_grant()) {
      return false;
    }
    if (event.id_) {
      relayed.last_event_ = event.id_;
    }
    out += event.bytes_;
    relayed.output_ += event.data_;
    relayed.output_ += '\n';
    ++relayed.events_;
  }
  return true;
}

auto upstream_offer::beyond_grant() const -> bool {
  const auto& granted = request_->granted_tokens_;
  if (!granted || *granted >= request_->facts_.max_tokens_) {
    return false;  // The engine itself ends at the most.
  }
  const auto* service = request_->configuration_->find_service(request_->service_);
  auto known = service != nullptr && service->engine_;
  auto tokens = known ? service->engine_->tokens_per_event_ : 1;
  return (request_->relayed_.events_ + 1) * tokens > *granted;
}

auto upstream_offer::break_off(std::string_view reason, bool by_upstream) -> offer_outcome {
  auto gone = request_->connection_->gone();
  request_->relayed_.upstream_broke_off_ = by_upstream && !gone;
  log_event(log_level::warning, "stream_broken_off",
            {{"request", request_->facts_.request_id_},
             {"program", request_->facts_.program_},
             {"upstream", target_->entry().id_},
             {"events", request_->relayed_.events_},
             {"reason", std::string{reason}}});
  context_->metrics_->count("streams_broken_off_total{reason=\"" + std::string{reason} + "\"}");
  return gone ? offer_outcome::caller_gone : offer_outcome::broken_off;
}

auto upstream_offer::write_stream_head(http_response head) -> task<bool> {
  if (request_->answered_) {
    co_return true;  // The stream goes on: it keeps the head and the proof of its first upstream.
  }
  remove_hop_by_hop(head);
  context_->dialect_->strip_response(head);
  head.version(11);
  head.erase(http::field::content_length);
  head.keep_alive(request_->keep_alive_ && !context_->stopping_);
  request_->keep_alive_ = head.keep_alive();
  request_->answered_ = true;
  request_->final_status_ = static_cast<int>(head.result_int());
  co_return co_await request_->connection_->write_head(std::move(head));
}

auto upstream_offer::relay_stream(http_response head) -> task<offer_outcome> {
  request_->relayed_.upstream_ = incarnation_of(target_->entry());
  auto head_written = co_await write_stream_head(std::move(head));
  if (!head_written) {
    co_return break_off("caller_gone", false);
  }
  auto last = false;
  while (!last) {
    auto read = co_await connection_->read_piece();
    if (auto* fault = std::get_if<exchange_fault>(&read)) {
      auto broken = *fault == exchange_fault::broken || *fault == exchange_fault::malformed ||
                    *fault == exchange_fault::aborted;
      co_return break_off(name_of(*fault), broken);
    }
    auto& piece = std::get<body_piece>(read);
    last = piece.last_;
    auto out = std::string{};
    auto in_order = take_events(piece.bytes_, out);
    auto written = true;
    if (!out.empty()) {
      written = co_await request_->connection_->write_piece(out);
    }
    if (!written) {
      co_return break_off("caller_gone", false);
    }
    if (!in_order) {
      auto beyond = beyond_grant();
      co_return break_off(beyond ? "budget_not_granted" : "events_out_of_order", !beyond);
    }
  }
  co_return co_await finish_stream();
}

auto upstream_offer::finish_stream() -> task<offer_outcome> {
  if (events_.has_rest()) {
    co_return break_off("event_not_whole", true);
  }
  request_->relayed_.whole_ = true;
  request_->connection_->on_gone(nullptr);  // What is whole is kept even if the caller leaves now.
  auto kept = true;
  if (request_->before_end_) {
    kept = co_await request_->before_end_(*request_);
  }
  if (!kept) {
    co_return break_off("answer_not_kept", false);
  }
  co_await request_->connection_->write_end();
  co_return offer_outcome::relayed;
}

}  // namespace birchlever

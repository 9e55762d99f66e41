#include "birchlever/gateway/upstream_attempt.h"

#include <array>

#include "birchlever/http/connection_pool.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto unlimited_age = milliseconds{3'600'000};  // Repeatable requests may use any idle connection.
constexpr auto lowest_urgency = 9;                       // Range of the urgency header: 0 to 9.
constexpr auto ranks_per_account = 3;                    // Three account ranks of three route ranks each.
constexpr auto silent_after =
    milliseconds{1000};  // Without a byte of response, the connection may be silent.
constexpr auto max_refusal_bytes = std::size_t{65536};

auto is_success(const http_response& head) -> bool {
  return http::to_status_class(head.result()) == http::status_class::successful;
}

/// Returns true for statuses that tell a caller that the request did not run. They are relayed only if the
/// upstream states so explicitly.
auto implies_not_run(unsigned status) -> bool {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/// Returns the urgency of a request. The account's rank takes precedence over the route's.
auto urgency_of(const gateway_request& request) -> int {
  auto route_rank = std::clamp(request.route_->rank_, 0, lowest_urgency);
  if (request.account_ == nullptr || !request.account_->rank_) {
    return route_rank;
  }
  auto within = std::min(route_rank, ranks_per_account - 1);
  return std::clamp(*request.account_->rank_ * ranks_per_account + within, 0, lowest_urgency);
}

}  // namespace

auto name_of(attempt_outcome outcome) -> std::string_view {
  constexpr auto names =
      std::array<std::string_view, 9>{"relayed",     "not_reached", "refused_full", "refused", "unknown",
                                      "out_of_time", "broken_off",  "caller_gone",  "withheld"};
  return names.at(static_cast<std::size_t>(outcome));
}

auto upstream_attempt::build_request() const -> std::shared_ptr<const http_request> {
  auto copy = std::make_shared<http_request>(request_->message_);
  remove_hop_by_hop(*copy);
  auto headers = upstream_headers{};
  headers.time_left_ = std::max<milliseconds>(
      request_->deadline_ - context_->clock_.now() - context_->limits_.deadline_margin_ms_, 1);
  headers.expected_upstream_ = target_->entry().id_;
  headers.urgency_ = urgency_of(*request_);
  headers.account_ = request_->account_name();
  headers.last_event_ = request_->relayed_.last_event_;
  context_->dialect_->set_upstream_headers(*copy, headers);
  copy->version(11);
  copy->erase(http::field::expect);
  auto has_length = request_->message_.has_content_length() || request_->message_.chunked();
  copy->erase(http::field::content_length);
  if (has_length || !copy->body().empty()) {
    copy->content_length(copy->body().size());
  }
  return copy;
}

auto upstream_attempt::classify(exchange_fault fault) -> attempt_outcome {
  fault_ = fault;
  context_->metrics_->count("upstream_exchanges_failed_total{fault=\"" + std::string{name_of(fault)} + "\"}");
  switch (fault) {
    case exchange_fault::not_connected:
      return attempt_outcome::not_reached;
    case exchange_fault::timed_out:
      return attempt_outcome::out_of_time;
    case exchange_fault::aborted:  // The caller disconnected or the upstream restarted.
      return request_->connection_->gone() ? attempt_outcome::caller_gone : attempt_outcome::unknown;
    case exchange_fault::closed_unasked:
    case exchange_fault::broken:
    case exchange_fault::malformed:
      break;
  }
  return attempt_outcome::unknown;
}

auto upstream_attempt::run() -> task<attempt_outcome> {
  auto refused = co_await send();
  if (refused) {
    co_return *refused;
  }
  auto watch = target_->on_replaced([connection = connection_] { connection->abort(); });
  auto outcome = co_await relay();
  target_->remove_callback(watch);
  co_return outcome;
}

auto upstream_attempt::send() -> task<std::optional<attempt_outcome>> {
  auto may_repeat = request_->route_->kind_ == route_kind::safe || request_->route_->resumable_;
  auto max_idle = may_repeat ? unlimited_age : context_->limits_.streaming_max_idle_ms_;
  auto remaining = request_->deadline_ - context_->clock_.now();
  auto address = target_->entry().address_;
  auto acquired = co_await context_->upstream_connections_->take(address, max_idle, remaining);
  if (auto* fault = std::get_if<exchange_fault>(&acquired)) {
    co_return classify(*fault);
  }
  connection_ = std::get<0>(acquired);
  if (!target_->accepts_requests() || request_->connection_->gone()) {
    context_->upstream_connections_->give_back(address, connection_);
    co_return target_->accepts_requests() ? attempt_outcome::caller_gone : attempt_outcome::refused;
  }
  request_->connection_->on_gone([connection = connection_] { connection->abort(); });
  connection_->send(build_request(), request_->deadline_ - context_->clock_.now());
  context_->upstreams_->record_transmission(progress_);
  request_->relayed_.reached_upstream_ = true;
  co_return std::nullopt;
}

auto upstream_attempt::close_unused_connections(exchange_fault fault, milliseconds waited) -> void {
  auto ended_by_us = fault == exchange_fault::timed_out || fault == exchange_fault::aborted;
  if (!ended_by_us || waited < silent_after) {
    return;
  }
  auto now = context_->clock_.now();
  auto closed = context_->upstream_connections_->forget_unused_since(target_->entry().address_, now - waited);
  log_event(log_level::info, "upstream_no_response",
            {{"request", request_->metadata_.request_id_},
             {"upstream", target_->entry().id_},
             {"waited_ms", waited},
             {"idle_closed", static_cast<std::int64_t>(closed)}});
}

auto upstream_attempt::log_skipped(unsigned status, const response_metadata& metadata) const -> void {
  context_->metrics_->count("upstream_responses_skipped_total");
  log_event(log_level::info, "response_skipped",
            {{"request", request_->metadata_.request_id_},
             {"upstream", target_->entry().id_},
             {"status", std::int64_t{status}},
             {"answers", metadata.request_id_},
             {"not_executed", metadata.not_executed_}});
}

auto upstream_attempt::read_own_head() -> task<exchanged<http_response>> {
  while (true) {
    auto read = co_await connection_->read_head();
    if (std::holds_alternative<exchange_fault>(read)) {
      co_return read;
    }
    const auto& head = std::get<http_response>(read);
    auto metadata = context_->dialect_->read_response(head);
    auto answers_another =
        !metadata.request_id_.empty() && metadata.request_id_ != request_->metadata_.request_id_;
    if (!answers_another || !connection_->may_skip_response()) {
      co_return read;
    }
    log_skipped(head.result_int(), metadata);
    auto fault = co_await connection_->skip_response(context_->limits_.max_response_bytes_);
    if (fault) {
      co_return *fault;
    }
  }
}

auto upstream_attempt::reject_response(unsigned status, const response_metadata& metadata)
    -> attempt_outcome {
  log_event(log_level::warning, "response_not_authentic",
            {{"request", request_->metadata_.request_id_},
             {"upstream", target_->entry().id_},
             {"status", std::int64_t{status}},
             {"answers", metadata.request_id_},
             {"not_executed", metadata.not_executed_},
             {"proven", metadata.has_signature_}});
  connection_->abort();
  return attempt_outcome::unknown;
}

auto upstream_attempt::finish_refusal(unsigned status) -> task<attempt_outcome> {
  log_event(log_level::info, "upstream_refused",
            {{"request", request_->metadata_.request_id_},
             {"upstream", target_->entry().id_},
             {"status", std::int64_t{status}},
             {"reused_connection", connection_->reused()}});
  auto rest = co_await connection_->read_rest(max_refusal_bytes);
  if (std::holds_alternative<exchange_fault>(rest)) {
    connection_->abort();
    co_return attempt_outcome::refused;  // A server in trouble rather than a full one.
  }
  context_->upstream_connections_->give_back(target_->entry().address_, connection_);
  auto full = status == 503 || status == 429;
  co_return full ? attempt_outcome::refused_full : attempt_outcome::refused;
}

auto upstream_attempt::relay() -> task<attempt_outcome> {
  auto address = target_->entry().address_;
  auto started_at = context_->clock_.now();
  auto read = co_await read_own_head();
  if (auto* fault = std::get_if<exchange_fault>(&read)) {
    close_unused_connections(*fault, context_->clock_.now() - started_at);
    connection_->abort();
    co_return classify(*fault);
  }
  auto& head = std::get<http_response>(read);
  auto metadata = context_->dialect_->read_response(head);
  // The id comes first: a refusal of another request says nothing about this one.
  if (metadata.request_id_ != request_->metadata_.request_id_) {
    co_return reject_response(head.result_int(), metadata);
  }
  context_->upstreams_->record_response_started(*target_, sent_at_);
  if (metadata.not_executed_) {
    co_return co_await finish_refusal(head.result_int());
  }
  auto authentic = is_success(head) ? metadata.has_signature_ : !implies_not_run(head.result_int());
  if (!authentic) {
    co_return reject_response(head.result_int(), metadata);
  }
  // The request names its upstream, so no other incarnation may have run it.
  context_->upstreams_->record_alive(*target_, sent_at_);
  auto used_connection = connection_;
  auto outcome = attempt_outcome::relayed;
  if (is_success(head) && request_->route_->kind_ == route_kind::streaming) {
    outcome = co_await relay_stream(std::move(head));
  } else if (request_->response_started_) {
    outcome = attempt_outcome::unknown;  // A started stream cannot be followed by an error response.
  } else {
    outcome = co_await relay_response(std::move(head));
  }
  if (outcome == attempt_outcome::relayed) {
    context_->upstream_connections_->give_back(address, used_connection);
  } else {
    used_connection->abort();
  }
  co_return outcome;
}

auto upstream_attempt::relay_response(http_response head) -> task<attempt_outcome> {
  auto rest = co_await read_body();
  if (auto* fault = std::get_if<exchange_fault>(&rest)) {
    co_return classify(*fault);
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
  request_->response_started_ = true;
  request_->final_status_ = static_cast<int>(head.result_int());
  request_->relayed_.complete_ = is_success(head);
  request_->connection_->on_gone(nullptr);
  allow_revocation();
  co_await request_->connection_->write(std::move(head));
  request_->memory_->set_revocable(false);
  co_return attempt_outcome::relayed;
}

auto upstream_attempt::append_events(std::string_view bytes, std::string& out) -> bool {
  auto& relayed = request_->relayed_;
  for (auto& event : events_.feed(bytes)) {
    auto gap = event.id_ && relayed.last_event_ && *event.id_ != *relayed.last_event_ + 1;
    if (gap || exceeds_grant()) {
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

auto upstream_attempt::exceeds_grant() const -> bool {
  const auto& granted = request_->granted_tokens_;
  if (!granted || *granted >= request_->metadata_.max_tokens_) {
    return false;  // The engine enforces the maximum itself.
  }
  return (request_->relayed_.events_ + 1) * tokens_per_event() > *granted;
}

auto upstream_attempt::exceeds_limits() const -> bool {
  return events_.overlong() || request_->relayed_.output_.size() > context_->limits_.max_response_bytes_;
}

auto upstream_attempt::tokens_per_event() const -> std::int64_t {
  const auto* service = request_->configuration_->find_service(request_->service_);
  auto has_engine = service != nullptr && service->engine_;
  return has_engine ? service->engine_->tokens_per_event_ : 1;
}

auto upstream_attempt::record_interruption(std::string_view reason, bool by_upstream) -> attempt_outcome {
  auto gone = request_->connection_->gone();
  request_->relayed_.interrupted_by_upstream_ = by_upstream && !gone;
  log_event(log_level::warning, "stream_broken_off",
            {{"request", request_->metadata_.request_id_},
             {"program", request_->metadata_.program_},
             {"upstream", target_->entry().id_},
             {"events", request_->relayed_.events_},
             {"reason", std::string{reason}}});
  context_->metrics_->count("streams_broken_off_total{reason=\"" + std::string{reason} + "\"}");
  return gone ? attempt_outcome::caller_gone : attempt_outcome::broken_off;
}

auto upstream_attempt::write_stream_head(http_response head) -> task<bool> {
  if (request_->response_started_) {
    co_return true;  // A resumed stream keeps the header of its first upstream.
  }
  remove_hop_by_hop(head);
  context_->dialect_->strip_response(head);
  head.version(11);
  head.erase(http::field::content_length);
  head.keep_alive(request_->keep_alive_ && !context_->stopping_);
  request_->keep_alive_ = head.keep_alive();
  request_->response_started_ = true;
  request_->final_status_ = static_cast<int>(head.result_int());
  co_return co_await request_->connection_->write_head(std::move(head));
}

auto upstream_attempt::relay_stream(http_response head) -> task<attempt_outcome> {
  request_->relayed_.upstream_ = incarnation_of(target_->entry());
  auto head_written = co_await write_stream_head(std::move(head));
  if (!head_written) {
    co_return record_interruption("caller_gone", false);
  }
  allow_revocation();
  request_->memory_->set_revocable(false);
  auto last = false;
  while (!last) {
    co_await await_memory();
    auto read = co_await connection_->read_piece();
    if (auto* fault = std::get_if<exchange_fault>(&read)) {
      fault_ = *fault;
      auto broken = *fault == exchange_fault::broken || *fault == exchange_fault::malformed ||
                    *fault == exchange_fault::aborted;
      co_return record_interruption(name_of(*fault), broken);
    }
    auto& chunk = std::get<body_piece>(read);
    last = chunk.last_;
    auto out = std::string{};
    auto events_before = request_->relayed_.events_;
    auto in_order = append_events(chunk.bytes_, out);
    auto written = true;
    if (!out.empty()) {
      auto tokens = (request_->relayed_.events_ - events_before) * tokens_per_event();
      context_->upstreams_->record_tokens(*target_, progress_, static_cast<double>(tokens),
                                          std::exchange(blocked_, 0));
      auto write_started_at = context_->clock_.now();
      request_->claim_memory(request_->relayed_.output_.size());
      request_->memory_->set_revocable(true);
      written = co_await request_->connection_->write_piece(out);
      request_->memory_->set_revocable(false);
      blocked_ += context_->clock_.now() - write_started_at;
    }
    if (!written) {
      co_return record_interruption("caller_gone", false);
    }
    if (exceeds_limits()) {
      co_return record_interruption("stream_too_long", true);
    }
    if (!in_order) {
      auto over_grant = exceeds_grant();
      co_return record_interruption(over_grant ? "budget_not_granted" : "events_out_of_order", !over_grant);
    }
  }
  co_return co_await finish_stream();
}

auto upstream_attempt::finish_stream() -> task<attempt_outcome> {
  if (events_.has_rest()) {
    co_return record_interruption("event_not_whole", true);
  }
  request_->relayed_.complete_ = true;
  request_->connection_->on_gone(nullptr);  // A complete stream is stored even if the caller disconnects.
  auto stored = true;
  if (request_->before_stream_end_) {
    stored = co_await request_->before_stream_end_(*request_);
  }
  if (!stored) {
    co_return record_interruption("answer_not_kept", false);
  }
  co_await request_->connection_->write_end();
  co_return attempt_outcome::relayed;
}

}  // namespace birchlever

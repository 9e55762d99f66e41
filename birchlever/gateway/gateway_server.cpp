#include "birchlever/gateway/gateway_server.h"

#include "birchlever/core/memory_budget.h"
#include "birchlever/gateway/account_filter.h"
#include "birchlever/gateway/allotment_filter.h"
#include "birchlever/gateway/crash_filter.h"
#include "birchlever/gateway/program_admission_filter.h"
#include "birchlever/gateway/route_filter.h"
#include "birchlever/gateway/turn_filter.h"
#include "birchlever/gateway/upstream_dispatch.h"
#include "birchlever/http/connection_limit.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto memory_retry_ms = milliseconds{1000};  // Requests that hold memory end within seconds.

auto error_of(read_fault fault) -> error {
  switch (fault) {
    case read_fault::header_too_large:
      return error{error_code::header_too_large, "request header exceeds the size limit"};
    case read_fault::body_too_large:
      return error{error_code::body_too_large, "request body exceeds the size limit"};
    case read_fault::too_slow:
      return error{error_code::request_too_slow, "request was not received within the time limit"};
    case read_fault::no_memory: {
      auto reason = error{error_code::memory_exhausted, "the daemon is out of memory for request bodies"};
      reason.retry_after_ms_ = memory_retry_ms;
      return reason;
    }
    case read_fault::closed:
    case read_fault::malformed:
      break;
  }
  return error{error_code::malformed_request, "malformed or ambiguous HTTP/1.1 request"};
}

/// Counts a request for as long as it is served, however that ends.
class counted_request {
 public:
  explicit counted_request(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {
    ++context_->in_flight_;
  }
  ~counted_request() { --context_->in_flight_; }
  counted_request(const counted_request&) = delete;
  auto operator=(const counted_request&) -> counted_request& = delete;

 private:
  std::shared_ptr<gateway_context> context_;
};

}  // namespace

gateway_server::gateway_server(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {
  if (!context_->memory_) {
    context_->memory_ = memory_budget::create();
  }
  if (!context_->connections_) {
    context_->connections_ = std::make_shared<connection_limit>();
  }
  filters_.push_back(std::make_unique<route_filter>(context_));
  filters_.push_back(std::make_unique<account_filter>(context_));
  filters_.push_back(std::make_unique<crash_filter>(context_));
  filters_.push_back(std::make_unique<allotment_filter>(context_));
  filters_.push_back(std::make_unique<program_admission_filter>(context_));
  filters_.push_back(std::make_unique<turn_filter>(context_));
  filters_.push_back(std::make_unique<upstream_dispatch>(context_));
}

auto gateway_server::create(std::shared_ptr<gateway_context> context, const std::string& address)
    -> result<std::shared_ptr<gateway_server>> {
  auto server = std::shared_ptr<gateway_server>{new gateway_server{std::move(context)}};
  auto serve = [server](auto connection) { return server->serve(std::move(connection)); };
  auto has_room = [limit = server->context_->connections_] { return limit->has_room(); };
  auto listening = http_listener::create(*server->context_->loop_, address, std::move(serve), has_room);
  if (!ok(listening)) {
    return failure(listening);
  }
  server->listener_ = std::move(value(listening));
  return server;
}

auto gateway_server::stop_accepting() -> void {
  listener_->stop();
  for (const auto& connection : connections_) {
    connection->stop_when_idle();
  }
}

auto gateway_server::serve(std::shared_ptr<server_connection> connection) -> task<> {
  connections_.insert(connection);
  context_->connections_->add(connection);
  try {
    co_await serve_requests(connection);
  } catch (const std::exception& fault) {
    log_event(log_level::error, "connection_failed", {{"what", std::string{fault.what()}}});
    context_->metrics_->count("program_faults_total");
    connection->close();
  }
  context_->connections_->remove(connection);
  connections_.erase(connection);
}

auto gateway_server::serve_requests(std::shared_ptr<server_connection> connection) -> task<> {
  auto keep_open = true;
  while (keep_open) {
    context_->connections_->set_waiting(connection);
    auto limits = context_->configuration_ ? context_->configuration_->limits_ : request_limits{};
    auto read = co_await connection->read_request(limits, context_->memory_);
    if (auto* fault = std::get_if<read_fault>(&read)) {
      co_await reject_unreadable(*connection, *fault);
      break;
    }
    keep_open = co_await handle(connection, std::move(std::get<http_request>(read)));
  }
  co_await connection->linger_and_close();
}

auto gateway_server::handle(std::shared_ptr<server_connection> connection, http_request message)
    -> task<bool> {
  auto request = gateway_request{};
  request.connection_ = std::move(connection);
  request.configuration_ = context_->configuration_;
  request.keep_alive_ = message.keep_alive();
  request.message_ = std::move(message);
  request.received_at_ = context_->clock_.now();
  request.memory_ = context_->memory_->open_claim();
  request.claim_memory();
  auto counted = counted_request{context_};
  if (context_->memory_->has_room()) {
    co_await run_filters(0, request);
  } else {
    co_await refuse_for_memory(*context_, request);
  }
  if (request.account_ != nullptr) {
    context_->usage_.record(request.account_->name_, request.final_status_);
  }
  auto duration = context_->clock_.now() - request.received_at_;
  context_->metrics_->observe("request_ms", static_cast<double>(duration));
  context_->metrics_->count("requests_total{status=\"" + std::to_string(request.final_status_) + "\"}");
  co_return request.keep_alive_;
}

auto gateway_server::run_filters(std::size_t index, gateway_request& request) -> task<> {
  if (index >= filters_.size()) {
    co_return;
  }
  auto next = next_filter{[this, index](gateway_request& passed) { return run_filters(index + 1, passed); }};
  co_await filters_[index]->apply(request, std::move(next));
}

auto gateway_server::reject_unreadable(server_connection& connection, read_fault fault) -> task<> {
  if (fault == read_fault::closed) {
    co_return;
  }
  auto reason = error_of(fault);
  auto response = http_response{static_cast<http::status>(http_status_of(reason.code_)), 11};
  response.set(http::field::content_type, "application/json");
  if (reason.retry_after_ms_ > 0) {
    response.set(http::field::retry_after, seconds_text(reason.retry_after_ms_));
  }
  response.keep_alive(false);
  response.body() = to_json_text(reason);
  response.prepare_payload();
  context_->metrics_->count("unreadable_requests_total{fault=\"" + std::string{name_of(fault)} + "\"}");
  log_event(log_level::info, "request_unreadable",
            {{"fault", std::string{name_of(fault)}},
             {"memory_held_bytes", static_cast<std::int64_t>(context_->memory_->held())},
             {"memory_limit_bytes", static_cast<std::int64_t>(context_->memory_->limit())}});
  co_await connection.write(std::move(response));
}

}  // namespace birchlever

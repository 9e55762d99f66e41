#include "birchlever/gateway/gateway_context.h"

#include <array>
#include <cstdio>

#include "birchlever/core/memory_budget.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto memory_retry_ms = milliseconds{1000};  // Requests that hold memory end within seconds.

}  // namespace

auto seconds_text(milliseconds duration) -> std::string {
  auto text = std::array<char, 32>{};
  std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(duration) / ms_per_second);
  return text.data();
}

auto refuse(gateway_context& context, gateway_request& request, const error& reason) -> task<> {
  auto status = http_status_of(reason.code_);
  auto response = http_response{static_cast<http::status>(status), 11};
  response.set(http::field::content_type, "application/json");
  if (reason.retry_after_ms_ > 0) {
    response.set(http::field::retry_after, seconds_text(reason.retry_after_ms_));
  }
  response.keep_alive(request.keep_alive_ && !context.stopping_);
  request.keep_alive_ = response.keep_alive();
  response.body() = to_json_text(reason);
  response.prepare_payload();
  request.response_started_ = true;
  request.final_status_ = status;
  context.metrics_->count("refusals_total{reason=\"" + std::string{name_of(reason.code_)} + "\"}");
  log_event(log_level::info, "request_refused",
            {{"request", request.metadata_.request_id_},
             {"program", request.metadata_.program_},
             {"fingerprint", request.fingerprint_},
             {"account", request.account_name()},
             {"route", request.route_ == nullptr ? std::string{} : request.route_->name_},
             {"status", std::int64_t{status}},
             {"reason", std::string{name_of(reason.code_)}},
             {"detail", reason.detail_},
             {"ran", std::string{name_of(reason.ran_)}},
             {"retry_after_ms", reason.retry_after_ms_},
             {"configuration", request.configuration_ ? request.configuration_->version_ : 0},
             {"held_ms", context.clock_.now() - request.received_at_}});
  co_await request.connection_->write(std::move(response));
}

auto refuse_for_memory(gateway_context& context, gateway_request& request) -> task<> {
  auto reason = error{error_code::memory_exhausted,
                      "the daemon is out of memory for requests: " + std::to_string(context.memory_->held()) +
                          " of " + std::to_string(context.memory_->limit()) + " bytes"};
  reason.retry_after_ms_ = memory_retry_ms;
  co_await refuse(context, request, reason);
}

}  // namespace birchlever

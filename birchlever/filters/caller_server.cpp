#include "birchlever/filters/caller_server.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/filters/admission_filter.h"
#include "birchlever/filters/authenticate_filter.h"
#include "birchlever/filters/caller_server_state.h"
#include "birchlever/filters/chat_answer.h"
#include "birchlever/filters/dispatch_filter.h"
#include "birchlever/filters/parse_filter.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/trace.h"
#include "birchlever/upstream/upstream_exchange.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto event_type = "text/event-stream";
/// The server closes a connection without a request after this time by itself, so a longer wait has no use.
constexpr auto max_drain_ms = milliseconds{CPPHTTPLIB_KEEPALIVE_TIMEOUT_SECOND * 1000};
constexpr auto max_keep_alive_requests = std::size_t{100000};

auto make_context(const httplib::Request& request) -> std::shared_ptr<request_context> {
  auto context = std::make_shared<request_context>();
  for (const auto& [name, content] : request.headers) {
    auto lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    context->headers_[lower] = content;
  }
  context->body_ = request.body;
  context->trace_ = trace_context::from_header(context->header("traceparent"));
  return context;
}

auto set_call_headers(httplib::Response& response, const request_context& context) -> void {
  response.set_header("birchlever-program", context.open_.order_.program_);
  response.set_header("birchlever-call", std::to_string(context.open_.order_.number_));
  response.set_header("traceparent", context.trace_.to_header());
  if (!context.ticket_.upstream_.empty()) {
    response.set_header("birchlever-upstream", context.ticket_.upstream_);
    response.set_header("birchlever-policy", context.ticket_.policy_);
    response.set_header("birchlever-epoch", std::to_string(context.ticket_.call_.epoch_));
  }
  if (context.replay_) {
    response.set_header("birchlever-replayed", "yes");
  }
}

}  // namespace

namespace {

/// Adapts the shared dispatcher to the ownership of filter_chain.
class dispatch_adapter final : public request_filter {
 public:
  explicit dispatch_adapter(std::shared_ptr<dispatch_filter> dispatcher)
      : dispatcher_{std::move(dispatcher)} {}

  auto apply(request_context& context) -> filter_result override { return dispatcher_->apply(context); }

 private:
  std::shared_ptr<dispatch_filter> dispatcher_;
};

}  // namespace

auto caller_server::state::make_filters() -> void {
  dispatcher_ = std::make_shared<dispatch_filter>(context_, gateway_);
  auto filters = std::vector<std::unique_ptr<request_filter>>{};
  filters.push_back(std::make_unique<parse_filter>(context_->settings_));
  filters.push_back(std::make_unique<authenticate_filter>(context_));
  filters.push_back(std::make_unique<admission_filter>(context_));
  filters.push_back(std::make_unique<dispatch_adapter>(dispatcher_));
  chain_ = std::make_unique<filter_chain>(std::move(filters));
}

auto caller_server::state::write_failure(httplib::Response& response, const request_context& context)
    -> void {
  auto reason = context.with_accurate_run_state(*context.failure_);
  context_->metrics_->count("refusals_total{type=\"" + std::string{name_of(reason.code_)} + "\"}");
  set_call_headers(response, context);
  answer_error(response, reason);
}

auto caller_server::state::handle_chat(const httplib::Request& request, httplib::Response& response) -> void {
  auto started_at = context_->clock_->now();
  auto context = make_context(request);
  auto span = scoped_span{*context_->traces_, context->trace_, "entry.call"};
  context->trace_ = span.context();
  auto outcome = chain_->run(*context);
  if (outcome == filter_result::answered && context->failure_) {
    write_failure(response, *context);
    return;
  }
  context_->metrics_->observe("call_start_ms", static_cast<double>(context_->clock_->now() - started_at));
  set_call_headers(response, *context);
  if (context->replay_) {
    auto text = context->stream_ ? chat_answer::replay_as_events(*context->replay_) : *context->replay_;
    response.set_content(text, context->stream_ ? event_type : json_type);
    return;
  }
  if (context->stream_) {
    stream_response(response, std::move(context));
    return;
  }
  auto answer = chat_answer{context_, *dispatcher_, context}.complete_response();
  context_->metrics_->observe("call_ms", static_cast<double>(context_->clock_->now() - started_at));
  if (ok(answer)) {
    response.set_content(value(answer), json_type);
  } else {
    answer_error(response, failure(answer));
  }
}

auto caller_server::state::stream_response(httplib::Response& response,
                                           std::shared_ptr<request_context> context) -> void {
  auto answer = std::make_shared<chat_answer>(context_, *dispatcher_, std::move(context));
  response.set_header("Cache-Control", "no-cache");
  response.set_chunked_content_provider(event_type, [answer](std::size_t, httplib::DataSink& sink) {
    auto reachable = true;
    for (auto bytes = answer->next(); bytes; bytes = answer->next()) {
      reachable = reachable && sink.is_writable() && sink.write(bytes->data(), bytes->size());
    }
    sink.done();  // The answer is recorded even if the caller disconnected; a retry returns it.
    return reachable;
  });
}

auto caller_server::state::handle_service(const httplib::Request& request, httplib::Response& response)
    -> void {
  auto context = make_context(request);
  auto span = scoped_span{*context_->traces_, context->trace_, "entry.service"};
  context->trace_ = span.context();
  context->open_.service_ = request.matches[1];
  context->service_path_ = request.matches[2];
  auto outcome = chain_->run(*context);
  if (outcome == filter_result::answered && context->failure_) {
    write_failure(response, *context);
    return;
  }
  set_call_headers(response, *context);
  auto recorded = context->replay_;
  if (!recorded) {
    auto remaining = std::max<milliseconds>(1, context->deadline_at_ - context_->clock_->now());
    auto bytes = context->exchange_->read_all(std::min(remaining, context_->settings_.upstream_wait_ms_));
    if (!ok(bytes)) {
      dispatcher_->settle_later(*context, call_outcome::failed);
      auto code =
          context->open_.order_.repeatable_ ? error_code::upstream_failed : error_code::outcome_unknown;
      answer_error(response, {code, failure(bytes).detail_, ran_state::outcome_unknown});
      return;
    }
    auto status = context->exchange_->wait_status(1);
    recorded = json{{"status", ok(status) ? value(status) : 502},
                    {"type", context->exchange_->content_type()},
                    {"body", value(bytes)}}
                   .dump(-1, ' ', false, json::error_handler_t::replace);
    auto settled = dispatcher_->settle(*context, call_outcome::answered, 0, 0, *recorded);
    if (!ok(settled)) {
      answer_error(response, failure(settled));
      return;
    }
  }
  auto body = json::parse(*recorded, nullptr, false);
  if (!body.is_object() || !body.contains("body")) {
    response.set_content(*recorded, json_type);  // The outcome that the service reported when queried for it.
    return;
  }
  response.status = body.value("status", 200);
  response.set_content(body.value("body", ""), body.value("type", json_type).c_str());
}

auto caller_server::state::register_routes() -> void {
  server_.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) {
    handle_chat(request, response);
  });
  server_.Post("/v1/services/([^/]+)/(.*)",
               [this](const httplib::Request& request, httplib::Response& response) {
                 handle_service(request, response);
               });
  register_program_routes();
  register_operator_routes();
  server_.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("{\"alive\":true}", json_type);
  });
  server_.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
    auto ready = !context_->stopping_ && context_->configuration_->is_up_to_date();
    response.status = ready ? 200 : 503;
    response.set_content(json{{"ready", ready}, {"stopping", context_->stopping_.load()}}.dump(), json_type);
  });
  server_.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
    context_->metrics_->gauge("calls_under_way", static_cast<double>(context_->calls_in_flight_.load()));
    response.set_content(context_->metrics_->to_prometheus(), "text/plain; version=0.0.4");
  });
  server_.set_error_handler([](const httplib::Request& request, httplib::Response& response) {
    if (!response.body.empty()) {
      return;
    }
    auto body_too_long = response.status == 413;
    auto failure = body_too_long ? error{error_code::body_too_large, "request body too long"}
                                 : error{error_code::unknown_route,
                                         "no route for " + request.method + " " + request.path};
    answer_error(response, failure);
  });
  server_.set_exception_handler(
      [](const httplib::Request&, httplib::Response& response, std::exception_ptr exception) {
        auto detail = std::string{"unhandled exception"};
        try {
          std::rethrow_exception(std::move(exception));
        } catch (const std::exception& caught) {
          detail = caught.what();
        } catch (...) {
          detail = "unhandled exception of unknown type";
        }
        log_event(log_level::error, "request_failed", {{"detail", detail}});
        answer_error(response, {error_code::internal, detail, ran_state::outcome_unknown});
      });
}

caller_server::caller_server(std::unique_ptr<state> initial) : state_{std::move(initial)} {}

caller_server::~caller_server() {
  stop();
}

auto caller_server::create(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway,
                           operate_handler operate) -> result<std::unique_ptr<caller_server>> {
  auto server_state = std::make_unique<state>();
  server_state->context_ = std::move(context);
  server_state->gateway_ = std::move(gateway);
  server_state->operate_ = std::move(operate);
  server_state->make_filters();
  server_state->register_routes();
  const auto& settings = server_state->context_->settings_;
  server_state->drain_ = std::make_unique<connection_drain>(server_state->server_,
                                                            static_cast<std::size_t>(settings.http_threads_));
  server_state->server_.set_payload_max_length(static_cast<std::size_t>(settings.max_body_bytes_) + 1);
  server_state->server_.set_keep_alive_max_count(max_keep_alive_requests);
  server_state->server_.set_tcp_nodelay(true);
  server_state->server_.set_write_timeout(std::chrono::milliseconds{settings.upstream_wait_ms_});
  if (!server_state->server_.bind_to_port(settings.listen_address_.c_str(),
                                          static_cast<int>(settings.http_port_))) {
    return error{error_code::invalid_setting,
                 "HTTP port " + std::to_string(settings.http_port_) + " cannot be bound"};
  }
  server_state->thread_ = std::thread{[server = &server_state->server_] { server->listen_after_bind(); }};
  return std::unique_ptr<caller_server>{new caller_server{std::move(server_state)}};
}

auto caller_server::stop() -> void {
  if (state_->thread_.joinable()) {
    const auto& settings = state_->context_->settings_;
    state_->drain_->finish(settings.listen_address_, static_cast<int>(settings.http_port_), max_drain_ms);
    state_->server_.stop();
    state_->thread_.join();
  }
}

}  // namespace birchlever

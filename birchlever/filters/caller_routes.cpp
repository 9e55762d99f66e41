/// Routes for programs, operators and test control.
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/filters/authenticate_filter.h"
#include "birchlever/filters/caller_server_state.h"
#include "birchlever/telemetry/trace.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto ms_per_second = std::int64_t{1000};

auto write_result(httplib::Response& response, const result<std::string>& text) -> void {
  if (!ok(text)) {
    answer_error(response, failure(text));
    return;
  }
  auto body = json::parse(value(text), nullptr, false);
  auto failed = body.is_object() && body.contains("error");
  if (failed) {
    auto type = body["error"].value("type", "");
    response.status = type == "unknown_program" ? 404 : type == "budget_mismatch" ? 409 : 503;
  }
  response.set_content(value(text), json_type);
}

auto parse_link_state(const std::string& name) -> link_state {
  if (name == "cut") {
    return link_state::cut;
  }
  return name == "answers_lost" ? link_state::answers_lost : link_state::healthy;
}

}  // namespace

auto answer_error(httplib::Response& response, const error& failure) -> void {
  response.status = http_status_of(failure.code_);
  if (failure.retry_after_ms_ > 0) {
    auto seconds = (failure.retry_after_ms_ + ms_per_second - 1) / ms_per_second;
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(to_json_text(failure), json_type);
}

auto caller_server::state::authenticate(const httplib::Request& request) const -> result<std::string> {
  auto context = request_context{};
  context.headers_["authorization"] = request.get_header_value("Authorization");
  auto filter = authenticate_filter{context_};
  if (filter.apply(context) == filter_result::answered) {
    return *context.failure_;
  }
  return context.open_.order_.account_;
}

auto caller_server::state::is_operator(const httplib::Request& request) const -> bool {
  auto key = bearer_key(request.get_header_value("Authorization"));
  auto known = false;
  for (const auto& operator_key : split_list(context_->settings_.operator_keys_)) {
    known = (!key.empty() && constant_time_equal(operator_key, key)) || known;
  }
  return known;
}

auto caller_server::state::register_program_routes() -> void {
  server_.Post("/v1/programs", [this](const httplib::Request& request, httplib::Response& response) {
    auto account = authenticate(request);
    auto body = json::parse(request.body, nullptr, false);
    if (!ok(account)) {
      answer_error(response, failure(account));
      return;
    }
    auto valid = body.is_object() && (!body.contains("budget") || body["budget"].is_number_integer()) &&
                 (!body.contains("program") || body["program"].is_string());
    if (!valid) {
      answer_error(response, {error_code::wrong_type, "program must be a string and budget an integer"});
      return;
    }
    auto program = body.value("program", random_id());
    write_result(response,
                 gateway_->create_program({value(account), program, body.value("budget", std::int64_t{0})}));
  });
  server_.Delete("/v1/programs/([^/]+)",
                 [this](const httplib::Request& request, httplib::Response& response) {
                   auto account = authenticate(request);
                   if (!ok(account)) {
                     answer_error(response, failure(account));
                     return;
                   }
                   write_result(response, gateway_->end_program({value(account), request.matches[1], 0}));
                 });
  server_.Get("/v1/programs/([^/]+)", [this](const httplib::Request& request, httplib::Response& response) {
    auto account = authenticate(request);
    if (!ok(account)) {
      answer_error(response, failure(account));
      return;
    }
    write_result(response, gateway_->history({value(account), request.matches[1], 0}));
  });
}

auto caller_server::state::register_operator_routes() -> void {
  server_.Post("/v1/operate", [this](const httplib::Request& request, httplib::Response& response) {
    if (!is_operator(request)) {
      answer_error(response, {error_code::unauthenticated, "missing or unknown operator key"});
      return;
    }
    auto answer = operate_(request.body);
    if (ok(answer)) {
      response.set_content(value(answer), json_type);
    } else {
      answer_error(response, failure(answer));
    }
  });
  server_.Get("/traces", [this](const httplib::Request& request, httplib::Response& response) {
    if (!is_operator(request)) {
      answer_error(response, {error_code::unauthenticated, "traces require an operator key"});
      return;
    }
    response.set_content(context_->traces_->to_zipkin(), json_type);
  });
  if (!test_switches::instance().enabled()) {
    return;
  }
  server_.Post("/test/link", [this](const httplib::Request& request, httplib::Response& response) {
    auto body = json::parse(request.body, nullptr, false);
    if (!is_operator(request) || !body.is_object()) {
      answer_error(response,
                   {error_code::forbidden, "test controls require an operator key and a JSON object"});
      return;
    }
    test_switches::instance().set_link(body.value("target", ""), parse_link_state(body.value("state", "")));
    response.set_content("{}", json_type);
  });
}

}  // namespace birchlever

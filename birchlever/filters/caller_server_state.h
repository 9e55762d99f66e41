/// Private implementation of caller_server.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include "birchlever/filters/caller_server.h"
#include "birchlever/filters/connection_drain.h"
#include "birchlever/filters/dispatch_filter.h"
#include "birchlever/filters/request_filter.h"

namespace birchlever {

/// Content type of responses that are not streamed.
inline constexpr auto json_type = "application/json";

/// Writes a failure as HTTP status, Retry-After header and JSON body.
auto answer_error(httplib::Response& response, const error& failure) -> void;

/// The HTTP server, its filters and its routes.
struct caller_server::state {
  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
  operate_handler operate_;
  std::shared_ptr<dispatch_filter> dispatcher_;
  std::unique_ptr<filter_chain> chain_;
  httplib::Server server_;
  std::unique_ptr<connection_drain> drain_;
  std::thread thread_;

  auto make_filters() -> void;
  auto register_routes() -> void;
  auto register_program_routes() -> void;
  auto register_operator_routes() -> void;
  auto handle_chat(const httplib::Request& request, httplib::Response& response) -> void;
  auto handle_service(const httplib::Request& request, httplib::Response& response) -> void;
  auto stream_response(httplib::Response& response, std::shared_ptr<request_context> context) -> void;
  auto write_failure(httplib::Response& response, const request_context& context) -> void;
  [[nodiscard]] auto authenticate(const httplib::Request& request) const -> result<std::string>;
  [[nodiscard]] auto is_operator(const httplib::Request& request) const -> bool;
};

}  // namespace birchlever

/// What stands behind caller_server; for its own source files only.
#pragma once

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

#include "birchlever/filters/caller_server.h"
#include "birchlever/filters/dispatch_filter.h"
#include "birchlever/filters/request_filter.h"

namespace birchlever {

/// Content type of answers that are not streams.
inline constexpr auto json_type = "application/json";

/// Answers with a failure: its status, Retry-After and JSON body.
auto answer_error(httplib::Response& response, const error& failure) -> void;

/// The server with its filters and routes.
struct caller_server::state {
  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
  operate_handler operate_;
  std::shared_ptr<dispatch_filter> dispatcher_;
  std::unique_ptr<filter_chain> chain_;
  httplib::Server server_;
  std::thread thread_;

  auto make_filters() -> void;
  auto routes() -> void;
  auto program_routes() -> void;
  auto operator_routes() -> void;
  auto chat(const httplib::Request& request, httplib::Response& response) -> void;
  auto service(const httplib::Request& request, httplib::Response& response) -> void;
  auto stream(httplib::Response& response, std::shared_ptr<request_context> context) -> void;
  auto failed(httplib::Response& response, const request_context& context) -> void;
  [[nodiscard]] auto account_of(const httplib::Request& request) const -> result<std::string>;
  [[nodiscard]] auto is_operator(const httplib::Request& request) const -> bool;
};

}  // namespace birchlever

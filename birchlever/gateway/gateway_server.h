/// The gateway's HTTP server for callers.
#pragma once

#include <memory>
#include <unordered_set>
#include <vector>

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"
#include "birchlever/http/http_listener.h"

namespace birchlever {

/// Reads requests from callers' connections and runs each through the filter chain.
class gateway_server : public std::enable_shared_from_this<gateway_server> {
 public:
  /// Starts to serve with the filters route, account, allotment, admission, turn and dispatch.
  /// Failures: invalid_setting, address_unavailable.
  static auto create(std::shared_ptr<gateway_context> context, const std::string& address)
      -> result<std::shared_ptr<gateway_server>>;

  /// Stops accepting connections and closes idle ones. Requests in progress finish.
  auto stop_accepting() -> void;

  /// Returns the number of open connections.
  [[nodiscard]] auto connections() const -> std::size_t { return connections_.size(); }

 private:
  explicit gateway_server(std::shared_ptr<gateway_context> context);

  /// Serves a connection to its end. A fault of the program closes this connection only.
  auto serve(std::shared_ptr<server_connection> connection) -> task<>;
  auto serve_requests(std::shared_ptr<server_connection> connection) -> task<>;
  auto handle(std::shared_ptr<server_connection> connection, http_request message) -> task<bool>;
  auto run_filters(std::size_t index, gateway_request& request) -> task<>;
  auto reject_unreadable(server_connection& connection, read_fault fault) -> task<>;

  std::shared_ptr<gateway_context> context_;
  std::vector<std::unique_ptr<gateway_filter>> filters_;
  std::shared_ptr<http_listener> listener_;
  std::unordered_set<std::shared_ptr<server_connection>> connections_;
};

}  // namespace birchlever

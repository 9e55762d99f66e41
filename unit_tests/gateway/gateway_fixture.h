/// A gateway with scripted upstreams and an in-memory store, all on one event loop of the test process.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "birchlever/controllers/crash_register.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/gateway/crash_guard.h"
#include "birchlever/gateway/gateway_server.h"
#include "birchlever/http/connection_pool.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/storage/memory_row_store.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_directory.h"
#include "platform/header_dialect.h"

namespace birchlever::test {

/// The behaviour of a scripted upstream for one request.
struct script {
  enum class kind {
    answer,
    refuse,
    reset,
    no_response,
    garbage,
    cut_body,
    stream,
    cut_stream,
    skip_event,
    no_proof,
    wrong_id,
    no_id,
    interim,     ///< `events_` interim responses, then the answer.
    end_process  ///< The upstream closes its port and all its connections.
  };
  /// When a second copy of the response is sent on the connection.
  enum class copy {
    none,
    before_next,  ///< Where the response to the next request should begin.
    at_once,      ///< Right behind the response.
    in_stream     ///< Amid the next stream, after its first event.
  };
  kind kind_ = kind::answer;
  int events_ = 3;
  int status_ = 200;
  copy copy_ = copy::none;
};

/// What becomes of the port of an upstream that ended under a request.
enum class port_after_end {
  closes,
  held,     ///< Accepts connections for another process, which answers nothing.
  reopens,  ///< The next incarnation answers there at once, under another id.
  silent    ///< Nothing closes, and nothing is answered.
};

/// A header that makes a request end its upstream, and is no part of what it asks for.
constexpr auto harmful_header = "Ends-Its-Server";

/// A request as received by an upstream.
struct received_request {
  std::string upstream_;
  std::string target_;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

/// Returns a header of a request, or an empty string.
[[nodiscard]] auto header_of(const received_request& received, const std::string& name) -> std::string;

/// A response as received by a caller.
struct received_response {
  int status_ = 0;  ///< 0: the connection was closed without a response.
  bool complete_ = false;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

/// Owns the gateway and its dependencies.
class gateway_fixture {
 public:
  gateway_fixture();
  ~gateway_fixture();

  /// Sends a request on a new connection and runs the loop until it is answered.
  auto send(const std::string& target, const std::map<std::string, std::string>& headers,
            const std::string& body) -> received_response;

  /// Adds a daemon that shares the store and the upstreams. Returns its index; the first daemon has index 0.
  auto add_gateway() -> std::size_t;

  /// Sends a request to a daemon and returns at once. The response is set when it arrives.
  auto send_to(std::size_t gateway, const std::string& target,
               const std::map<std::string, std::string>& headers, const std::string& body)
      -> std::shared_ptr<std::optional<received_response>>;

  /// Runs the loop until the condition holds, for at most `limit` ms. Returns whether it holds.
  auto run_until(const std::function<bool()>& condition, milliseconds limit = 6000) -> bool;

  /// Adds a scripted upstream that listens on a free port.
  auto start_upstream(const std::string& name, const std::string& service) -> void;

  /// Closes the port of an upstream; its connections stay open.
  auto stop_listening(const std::string& name) -> void { upstreams_.at(name).listener_->stop(); }

  [[nodiscard]] auto port_of(const std::string& name) const -> unsigned short {
    return upstreams_.at(name).entry_.address_.port();
  }

  /// Returns "ip:port" of the first daemon for callers.
  [[nodiscard]] auto caller_address() const -> const std::string& { return addresses_.front(); }

  /// Lists an upstream with another start time.
  auto set_born(const std::string& name, std::int64_t born) -> void;

  /// Returns the number of upstreams that ended.
  [[nodiscard]] auto ended_upstreams() const -> std::size_t { return ended_; }

  /// Sends raw bytes and returns all bytes received until the connection closes or none arrive for
  /// `idle_timeout` ms.
  auto send_bytes(const std::string& bytes, milliseconds idle_timeout = 300) -> std::string;

  /// Sends a turn of a program on a route that retains turns.
  auto turn(const std::string& id, const std::string& previous, const std::string& input,
            const std::string& program = "p1", std::int64_t budget = 1000, std::int64_t max_tokens = 40)
      -> received_response;

  /// Sends a turn of a program on a route that does not retain turns.
  auto turn_without_history(const std::string& id, std::int64_t budget = 1000,
                            const std::map<std::string, std::string>& more_headers = {}) -> received_response;

  /// Applies a new configuration with these client accounts.
  auto set_accounts(std::vector<client_account> accounts) -> void;

  /// Runs the loop for `duration` ms.
  auto run_for(milliseconds duration) -> void;

  /// Adds an upstream at a local port to the directory.
  auto add_upstream(const std::string& id, const std::string& service, unsigned short port,
                    bool leaving = false) -> void;

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<gateway_context> context_;  ///< Of the first daemon.
  std::shared_ptr<gateway_server> server_;    ///< Likewise.
  std::vector<std::shared_ptr<gateway_context>> contexts_;
  std::string harmful_text_;  ///< An upstream ends when it gets a body that contains this; empty: none does.
  milliseconds answer_delay_ = 0;  ///< ms for which an upstream runs any other request before it responds.
  bool peers_connected_ = true;    ///< Daemons exchange records of the crash history directly, too.
  peer_contact partition_side_ = peer_contact::all;  ///< What daemons observe while they are not connected.
  port_after_end port_after_end_ = port_after_end::closes;
  milliseconds patience_ = 4000;  ///< ms after which a caller closes its connection.
  milliseconds ends_after_ = 0;   ///< ms for which an upstream runs such a request before it ends.
  std::deque<script> scripts_;    ///< For the next requests; when empty, a normal response or stream.
  std::map<std::string, script> scripts_of_;  ///< By upstream, for all requests without one of `scripts_`.
  std::vector<received_request> seen_;
  serving_configuration configuration_;
  std::vector<std::shared_ptr<crash_register>> registers_;  ///< By daemon.

 private:
  auto serve_upstream(std::string name, std::shared_ptr<server_connection> connection) -> task<>;
  auto run_script(const std::string& name, script script_to_run, const http_request& request,
                  server_connection& connection) -> task<bool>;

  /// Runs the script, and sends the second copies of responses that are due.
  auto respond(const std::string& name, script script_to_run, const http_request& request,
               server_connection& connection) -> task<bool>;
  auto write_stream(script script_to_run, const http_request& request, http_response head,
                    server_connection& connection) -> task<bool>;

  /// A response of which a second copy is still to be sent.
  struct late_copy {
    script script_;
    http_request request_;
  };
  auto exchange(std::string address, http_request request) -> task<received_response>;
  auto make_context() -> std::shared_ptr<gateway_context>;
  auto open_gateway() -> void;
  auto end_upstream(const std::string& name) -> void;

  /// A scripted server with its open connections.
  struct scripted_upstream {
    upstream_entry entry_;
    std::shared_ptr<http_listener> listener_;
    std::set<std::shared_ptr<server_connection>> connections_;
    std::string id_;  ///< Of the incarnation that runs.
    std::set<std::string> former_ids_;
    bool silent_ = false;
    bool held_ = false;  ///< It ended, and its port stays open.
  };

  /// Serves health checks, and rejects what is meant for another incarnation. Returns false if the request is
  /// to be run.
  auto serve_without_running(const scripted_upstream& upstream, const http_request& request,
                             server_connection& connection) -> task<bool>;

  std::map<std::string, scripted_upstream> upstreams_;
  std::map<server_connection*, late_copy> late_copies_;
  std::vector<std::shared_ptr<gateway_server>> servers_;
  std::vector<std::string> addresses_;
  std::size_t ended_ = 0;
};

}  // namespace birchlever::test

/// A gateway in the test's own process, before scripted upstreams and a store in memory, on one loop.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/coordination/program_store.h"
#include "birchlever/gateway/configuration_freshness.h"
#include "birchlever/gateway/gateway_server.h"
#include "birchlever/http/connection_pool.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/storage/memory_row_store.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_directory.h"
#include "platform/header_dialect.h"

namespace birchlever::test {

/// What a scripted upstream does with one request.
struct script {
  enum class kind {
    answer,
    refuse,
    reset,
    silence,
    garbage,
    cut_body,
    stream,
    cut_stream,
    skip_event,
    no_proof,
    wrong_id
  };
  kind kind_ = kind::answer;
  int events_ = 3;
  int status_ = 200;
};

/// A request as an upstream saw it.
struct seen_request {
  std::string upstream_;
  std::string target_;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

/// A header of a request, or an empty text.
[[nodiscard]] auto header_of(const seen_request& seen, const std::string& name) -> std::string;

/// An answer as a caller saw it.
struct seen_answer {
  int status_ = 0;  ///< 0: the connection ended without an answer.
  bool whole_ = false;
  std::string body_;
  std::map<std::string, std::string> headers_;
};

/// The gateway's surroundings.
class gateway_fixture {
 public:
  gateway_fixture();
  ~gateway_fixture();

  /// Sends one request on its own connection and runs the loop until it is answered.
  auto ask(const std::string& target, const std::map<std::string, std::string>& headers,
           const std::string& body) -> seen_answer;

  /// Sends bytes as they are and yields all that comes back until the connection ends or `quiet` ms pass.
  auto ask_raw(const std::string& bytes, milliseconds quiet = 300) -> std::string;

  /// A turn of a program.
  auto turn(const std::string& id, const std::string& previous, const std::string& input,
            const std::string& program = "p1", std::int64_t budget = 1000, std::int64_t most = 40)
      -> seen_answer;

  /// A turn of a program on a route that keeps nothing.
  auto brief_turn(const std::string& id, std::int64_t budget = 1000,
                  const std::map<std::string, std::string>& more_headers = {}) -> seen_answer;

  /// A newer configuration with these client accounts comes into force.
  auto take_accounts(std::vector<client_account> accounts) -> void;

  /// Runs the loop for a while.
  auto run_for(milliseconds duration) -> void;

  /// Lists an upstream that runs at `port`.
  auto list(const std::string& id, const std::string& service, unsigned short port, bool leaving = false)
      -> void;

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<gateway_context> context_;
  std::shared_ptr<gateway_server> server_;
  std::deque<script> scripts_;  ///< What the next requests meet; a plain answer or stream when empty.
  std::vector<seen_request> seen_;
  serving_configuration configuration_;

 private:
  auto serve_upstream(std::string name, std::shared_ptr<server_connection> connection) -> task<>;
  auto play(script what, const http_request& request, server_connection& connection) -> task<bool>;
  auto exchange(http_request request) -> task<seen_answer>;

  std::vector<std::shared_ptr<http_listener>> upstreams_;
  std::string address_;
};

}  // namespace birchlever::test

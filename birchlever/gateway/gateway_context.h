/// State shared by the gateway's filters.
#pragma once

#include <memory>
#include <string>

#include "birchlever/accounts/account_usage.h"
#include "birchlever/core/clock.h"
#include "birchlever/gateway/gateway_request.h"

namespace birchlever {

class allotment_policy;
class configuration_freshness;
class connection_limit;
class connection_pool;
class crash_guard;
class memory_budget;
class metrics;
class policy_registry;
class pressure_measure;
class program_admission;
class program_store;
class upstream_directory;

/// Time limit of requests for which neither the caller nor the route sets one.
inline constexpr auto default_time_limit_ms = milliseconds{60000};

/// Limits that are fixed while the gateway runs.
struct gateway_limits {
  milliseconds deadline_margin_ms_ =
      20;                 ///< Subtracted from the time given to an upstream, for the response.
  int max_attempts_ = 6;  ///< Maximum number of upstreams tried per request.
  std::size_t max_response_bytes_ = 16U << 20U;  ///< Of a response, or of the data of a stream.
  milliseconds streaming_max_idle_ms_ =
      3000;  ///< Connections idle for longer carry no requests that must not run twice.
};

/// Maximum age of the client account configuration, and the handling of requests when it is exceeded.
struct account_freshness_limits {
  milliseconds known_key_max_age_ms_ = 0;    ///< For accepting a key; 0: no limit.
  milliseconds unknown_key_max_age_ms_ = 0;  ///< For rejecting a key; 0: no limit.
  milliseconds min_stream_hold_ms_ = 1000;   ///< Minimum hold limit of streams; half of the shortest silence
                                             ///< after which callers close one.
  milliseconds retry_ms_ = 3000;             ///< Retry-After of requests that timed out while waiting.
};

/// Owned by the daemon. Outlives every request.
struct gateway_context {
  event_loop* loop_ = nullptr;
  std::shared_ptr<request_dialect> dialect_;
  std::shared_ptr<connection_pool> upstream_connections_;
  std::shared_ptr<upstream_directory> upstreams_;
  std::shared_ptr<program_store> programs_;
  std::shared_ptr<policy_registry> policies_;
  std::shared_ptr<metrics> metrics_;
  std::shared_ptr<memory_budget>
      memory_;  ///< Limits what is held for callers. Set by gateway_server if null.
  std::shared_ptr<connection_limit> connections_;  ///< Of accepted ones. Set by gateway_server if null.
  std::shared_ptr<const serving_configuration> configuration_;  ///< Null until the first one is loaded.
  std::string engine_policy_;                                   ///< Name of the policy that selects engines.
  std::string service_policy_;  ///< Name of the policy that selects other upstreams.
  steady_clock clock_;
  gateway_limits limits_;
  account_freshness_limits freshness_limits_;
  account_usage usage_;
  std::shared_ptr<configuration_freshness>
      freshness_;                                 ///< Required if the configuration defines client accounts.
  std::shared_ptr<allotment_policy> allotments_;  ///< Null if allotments are not enforced.
  std::shared_ptr<program_admission> admission_;  ///< Null if new programs are never limited.
  std::shared_ptr<pressure_measure> pressure_;    ///< Null likewise.
  std::shared_ptr<crash_guard> crash_guard_;      ///< Null if crashes of upstreams are not tracked.
  std::int64_t daemon_count_ = 1;                 ///< Daemons in the fleet, including this one.
  bool program_affinity_ = true;  ///< Turns without stored history prefer one upstream per program.
  bool stopping_ = false;
  int in_flight_ = 0;  ///< Requests in progress.
};

/// Returns a duration in seconds, as Retry-After has it.
[[nodiscard]] auto seconds_text(milliseconds duration) -> std::string;

/// Responds with an error. The response says whether the request ran and when it may be retried.
auto refuse(gateway_context& context, gateway_request& request, const error& reason) -> task<>;

/// Refuses a request that does not fit into the memory that the process may use for callers.
auto refuse_for_memory(gateway_context& context, gateway_request& request) -> task<>;

}  // namespace birchlever

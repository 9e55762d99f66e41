/// Configuration of serving: which requests are routed to which service, and within which limits.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/accounts/account_registry.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

/// Kind of a route. Safe requests may run more than once; unsafe and streaming requests run at most once. The
/// response body of a streaming request is a sequence of events.
enum class route_kind { safe, unsafe, streaming };

/// Returns the stable name of a route kind.
[[nodiscard]] auto name_of(route_kind kind) -> std::string_view;

/// A service with its share of a route's traffic.
struct weighted_service {
  std::string service_;
  std::int64_t weight_ = 0;
};

/// A route: the requests it matches and how they are served.
struct route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  ///< Starts and ends with a slash.
  route_kind kind_ = route_kind::unsafe;
  std::vector<weighted_service> services_;
  milliseconds time_limit_ = 0;         ///< Maximum time that a request is held, in ms; 0 for no limit.
  milliseconds latency_objective_ = 0;  ///< Latency objective of a response, in ms.
  milliseconds stream_idle_timeout_ =
      0;                   ///< Time without events after which callers close a stream, in ms; 0 if unknown.
  int rank_ = 0;           ///< 0 is the most urgent.
  int max_upstreams_ = 1;  ///< Maximum number of upstreams on which one request may run.
  bool retains_turns_ = false;  ///< The history of a program is stored; a turn carries only its new input.
  bool resumable_ = false;      ///< A broken stream may resume at another upstream after a given event.
  milliseconds retention_ = 0;  ///< Time for which the history is kept after a turn's response, in ms.
  bool public_ = false;         ///< Requires no key of a client account.
  std::vector<std::string> allowed_regions_;  ///< Regions in which it may be served; empty for all.
};

/// Capacity of one model engine of a service.
struct engine_capacity {
  std::int64_t slots_ = 1;             ///< Maximum number of concurrent streams.
  std::int64_t cache_tokens_ = 0;      ///< Memory for prompts and outputs, in tokens.
  std::int64_t tokens_per_event_ = 1;  ///< Tokens that one event of a stream represents.
};

/// A service and the limits of its upstreams.
struct service_description {
  std::string name_;
  std::string health_path_;
  std::int64_t max_connections_ = 0;  ///< Limit of one upstream over all callers; 0 if unknown.
  std::optional<engine_capacity> engine_;
  double cold_requests_per_s_ = 0;  ///< Request rate limit of an upstream after its start; 0 for none.
  milliseconds cold_duration_ = 0;  ///< Time after the start for which that limit applies, in ms.
};

/// The complete serving configuration. Versions increase, not necessarily by one.
struct serving_configuration {
  std::int64_t version_ = 0;
  std::vector<route> routes_;
  std::map<std::string, service_description> services_;
  request_limits limits_;
  std::shared_ptr<const account_registry> accounts_;  ///< Null if client accounts are not distinguished.

  /// Returns the route of the host with the longest prefix that matches the path, or null.
  [[nodiscard]] auto find_route(std::string_view host, std::string_view path) const -> const route*;

  /// Returns the description of a service, or null.
  [[nodiscard]] auto find_service(const std::string& name) const -> const service_description*;
};

/// Returns the service of a route for an affinity key. Keys are distributed by weight, and a key keeps its
/// service while the weights do not change. Empty if the route has no services.
[[nodiscard]] auto service_for(const route& selected, std::string_view affinity_key) -> std::string;

}  // namespace birchlever

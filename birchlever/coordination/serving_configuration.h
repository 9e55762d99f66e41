/// What operators say about serving: which requests go to which service, within which limits.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/accounts/account_book.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/server_connection.h"

namespace birchlever {

/// How often a request of a route may run. A stream runs at most once and its body comes in events.
enum class route_kind { safe, unsafe, streaming };

/// The stable name of a kind.
[[nodiscard]] auto name_of(route_kind kind) -> std::string_view;

/// A service with its share of a route's traffic.
struct weighted_service {
  std::string service_;
  std::int64_t weight_ = 0;
};

/// One route: the requests it takes and how they are to be served.
struct route {
  std::string name_;
  std::string host_;
  std::string path_prefix_;  ///< Begins and ends with a slash.
  route_kind kind_ = route_kind::unsafe;
  std::vector<weighted_service> services_;
  milliseconds time_limit_ = 0;         ///< The longest time a request is held; 0 means none is set.
  milliseconds latency_objective_ = 0;  ///< An answer within this time is worth most.
  milliseconds stream_idle_timeout_ =
      0;                        ///< Callers leave a stream in which nothing comes for so long; 0: not known.
  int rank_ = 0;                ///< 0 is the most urgent.
  int max_upstreams_ = 1;       ///< Upstreams on which one request may run.
  bool retains_turns_ = false;  ///< A turn brings only its new input; the history is kept here.
  bool resumable_ = false;      ///< A stream that broke may go on at another upstream, behind a given event.
  milliseconds retention_ = 0;  ///< How long a turn's history is kept after its answer.
  bool public_ = false;         ///< Needs no key of a client account.
  std::vector<std::string> allowed_regions_;  ///< It is served there only; empty: anywhere.
};

/// What one model engine of a service can do.
struct engine_capacity {
  std::int64_t slots_ = 1;             ///< Streams that run at once.
  std::int64_t cache_tokens_ = 0;      ///< Memory for prompts and answers, in tokens.
  std::int64_t tokens_per_event_ = 1;  ///< Tokens that one event of a stream stands for.
};

/// One service of upstreams.
struct service_description {
  std::string name_;
  std::string health_path_;
  std::int64_t max_connections_ = 0;  ///< An upstream takes from all callers together; 0 means not known.
  std::optional<engine_capacity> engine_;
  double cold_requests_per_s_ =
      0;  ///< Requests a second that an upstream bears after its start; 0: no bound.
  milliseconds cold_duration_ = 0;  ///< For so long.
};

/// A whole configuration. Versions rise, not always by one.
struct serving_configuration {
  std::int64_t version_ = 0;
  std::vector<route> routes_;
  std::map<std::string, service_description> services_;
  request_limits limits_;
  std::shared_ptr<const account_book> accounts_;  ///< None where client accounts are not told apart.

  /// The route of a host whose prefix begins the path and is longest, or none.
  [[nodiscard]] auto find_route(std::string_view host, std::string_view path) const -> const route*;

  /// A service's description, or none.
  [[nodiscard]] auto find_service(const std::string& name) const -> const service_description*;
};

/// The service of a route that serves a subject: shares follow the weights, and a subject stays where it is
/// while they do not change. Empty when the route has none.
[[nodiscard]] auto service_for(const route& wanted, std::string_view subject) -> std::string;

}  // namespace birchlever

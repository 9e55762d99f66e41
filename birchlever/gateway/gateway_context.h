/// What the gateway's filters share.
#pragma once

#include <memory>
#include <string>

#include "birchlever/accounts/account_usage.h"
#include "birchlever/core/clock.h"
#include "birchlever/gateway/gateway_request.h"

namespace birchlever {

class allotment_policy;
class configuration_freshness;
class connection_pool;
class metrics;
class policy_book;
class program_store;
class upstream_directory;

/// ms for which a request is held when neither its caller nor an operator sets a limit.
inline constexpr auto unlimited_ms = milliseconds{60000};

/// Settings of serving that no operator changes while it runs.
struct gateway_limits {
  milliseconds safety_ms_ = 20;  ///< An upstream is given so much less than is left, for the way back.
  int most_offers_ = 6;          ///< Upstreams that may refuse a request before the caller is refused.
  std::size_t most_answer_bytes_ = 16U << 20U;  ///< A longer whole answer is not the upstream's.
  milliseconds streaming_max_idle_ms_ =
      3000;  ///< Kept connections older than this carry no request that may run only once.
};

/// For how long what is known of client accounts may be used, and what happens when it is older. All in ms.
struct account_freshness_limits {
  milliseconds known_key_max_age_ms_ = 0;  ///< Age at most of knowledge that honours a key; 0 means any age.
  milliseconds unknown_key_max_age_ms_ =
      0;  ///< Age at most of knowledge that refuses a key; 0 means any age.
  milliseconds min_stream_hold_ms_ =
      1000;                       ///< A stream may wait at least so long for newer knowledge or the store:
                                  ///< half of the shortest silence after which callers leave one.
  milliseconds retry_ms_ = 3000;  ///< When a caller that waited in vain is told to come back.
};

/// Owned by the daemon; outlives every request.
struct gateway_context {
  event_loop* loop_ = nullptr;
  std::shared_ptr<request_dialect> dialect_;
  std::shared_ptr<connection_pool> upstream_connections_;
  std::shared_ptr<upstream_directory> upstreams_;
  std::shared_ptr<program_store> programs_;
  std::shared_ptr<policy_book> policies_;
  std::shared_ptr<metrics> metrics_;
  std::shared_ptr<const serving_configuration> configuration_;  ///< None until the first was read.
  std::string engine_policy_;                                   ///< Name of the policy that chooses engines.
  std::string service_policy_;  ///< Name of the policy that chooses plain upstreams.
  steady_clock clock_;
  gateway_limits limits_;
  account_freshness_limits freshness_limits_;
  account_usage usage_;
  std::shared_ptr<configuration_freshness> freshness_;  ///< Needed where client accounts are told apart.
  std::shared_ptr<allotment_policy> allotments_;        ///< None: no account is limited.
  std::int64_t daemon_count_ =
      1;  ///< Listed daemons, this one included: they share the upstreams' connections.
  bool program_affinity_ = true;  ///< Turns of which nothing is kept prefer one upstream a program.
  bool stopping_ = false;
  int in_flight_ = 0;  ///< Requests that have no final answer yet.
};

/// Answers with a typed failure. The answer says whether the request ran and when to come back.
auto refuse(gateway_context& context, gateway_request& request, const error& reason) -> task<>;

}  // namespace birchlever

/// The upstreams as the platform's list and this daemon's own traffic show them, and the choice among them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/policy/policy_interface.h"
#include "birchlever/upstream/common_parts.h"
#include "birchlever/upstream/own_link.h"
#include "birchlever/upstream/prompt_cache.h"
#include "birchlever/upstream/upstream_health.h"

namespace birchlever {

/// One upstream as listed. Every start of a server is a new upstream with a new id.
struct upstream_entry {
  std::string id_;
  std::string service_;
  boost::asio::ip::tcp::endpoint address_;
  std::string data_hall_;
  std::int64_t slots_ = 1;  ///< Requests that run at once.
  bool leaving_ = false;    ///< Takes no new request.
  std::vector<std::string> models_;
};

/// All of an entry that decisions rest on, as a text: entries with the same text are alike.
[[nodiscard]] auto meaning_of(const upstream_entry& entry) -> std::string;

/// What one request tells of an upstream.
enum class upstream_evidence { served, full, failed, none };

/// An upstream and what this daemon knows of it.
class upstream {
 public:
  explicit upstream(upstream_entry entry, upstream_health health = upstream_health{})
      : entry_{std::move(entry)}, health_{std::move(health)} {}

  [[nodiscard]] auto entry() const -> const upstream_entry& { return entry_; }
  [[nodiscard]] auto running() const -> int { return running_; }
  [[nodiscard]] auto health() const -> const upstream_health& { return health_; }

  /// False from the moment it was told to leave or its entry is gone.
  [[nodiscard]] auto takes_requests() const -> bool { return listed_ && !entry_.leaving_; }

 private:
  friend class upstream_directory;

  upstream_entry entry_;
  bool listed_ = true;
  int running_ = 0;               ///< Requests of this daemon there now.
  double running_elsewhere_ = 0;  ///< Requests of other daemons, as they last said.
  upstream_health health_;
  milliseconds full_until_ = 0;
  prompt_cache cache_;
};

using upstream_pointer = std::shared_ptr<upstream>;

/// What a request wants of an upstream.
struct upstream_wish {
  std::string service_;
  std::string model_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t most_tokens_ = 0;
  std::vector<prompt_part> parts_;
  std::string program_;        ///< Whose prompt it is; empty outside programs.
  std::string last_upstream_;  ///< Where the previous turn ran; empty when there was none.
  std::string home_subject_;  ///< Requests of one subject prefer the same upstream, through any daemon; empty
                              ///< when it is known where the previous turn ran.
  int most_here_ = 0;  ///< Requests of this daemon after which an upstream counts as full; 0: no bound.
  std::int64_t cache_room_ = 0;     ///< Tokens an engine of the service holds; 0 for plain services.
  std::set<std::string> excluded_;  ///< Upstreams that refused or failed this request.
  std::uint64_t seed_ = 0;
};

/// A choice with what it rests on, for the log.
struct upstream_choice {
  upstream_pointer chosen_;
  std::size_t candidates_ = 0;
  std::int64_t held_tokens_ = 0;
};

/// How evidence is weighed.
struct upstream_directory_settings {
  std::string data_hall_;          ///< Where this daemon stands.
  std::uint64_t jitter_seed_ = 0;  ///< Differs between daemons.
  upstream_health_settings health_;
  double least_kept_share_ = 0.25;  ///< With fewer left than this share of a service, those avoided are used
                                    ///< too: the load of all must not fall on a few.
  milliseconds full_memory_ = 60;   ///< ms for which an upstream that refused as full counts as full.
  std::shared_ptr<const clock_interface> clock_ = std::make_shared<steady_clock>();
};

/// What this daemon learned of an upstream, for its peers.
struct upstream_news {
  std::string id_;
  bool failed_ = false;  ///< Else it serves again.
};

/// For coroutines of one loop.
class upstream_directory {
 public:
  explicit upstream_directory(upstream_directory_settings settings);

  /// Adds or changes an upstream.
  auto put(upstream_entry entry) -> void;

  /// The upstream has left the list.
  auto remove(const std::string& id) -> void;

  /// All listed ids.
  [[nodiscard]] auto ids() const -> std::vector<std::string>;

  /// The upstream of an id, or none.
  [[nodiscard]] auto find(const std::string& id) const -> upstream_pointer;

  /// Chooses by the policy. Failures: no_upstream.
  auto choose(const policy_interface& policy, const upstream_wish& wish) -> result<upstream_choice>;

  /// Called with what peers should know at once.
  using news_function = std::function<void(const upstream_news&)>;
  auto on_news(news_function callback) -> void { on_news_ = std::move(callback); }

  /// Tells whether a kept connection to an address is free.
  using connected_function = std::function<bool(const boost::asio::ip::tcp::endpoint&)>;
  auto on_connected(connected_function callback) -> void { connected_ = std::move(callback); }

  /// Takes in what a peer learned.
  auto hear(const std::string& peer, const upstream_news& news) -> void;

  /// Looks for upstreams that hang. Call some times a second.
  auto find_stalled() -> void;

  /// A request is sent there. Yields the moment, which names it below.
  auto begin(upstream& one, const upstream_wish& wish) -> milliseconds;

  /// The answer to a request that began then has begun.
  auto answered(upstream& one, milliseconds began) -> void;

  /// The request that began then has ended.
  auto end(upstream& one, milliseconds began, upstream_evidence evidence) -> void;

  /// Requests that other daemons have running there, as they say.
  auto set_running_elsewhere(const std::string& id, double running) -> void;

  /// Likewise for all upstreams at once; those not named have none.
  auto set_running_elsewhere(const std::unordered_map<std::string, double>& running) -> void;

  /// Calls back for each listed upstream.
  auto each(const std::function<void(const upstream&)>& visit) const -> void;

 private:
  auto candidates(const upstream_wish& wish, bool also_avoided) const -> std::vector<upstream_pointer>;
  /// Prompt tokens that any engine of the service probably holds.
  [[nodiscard]] auto common_tokens(const upstream_wish& wish) const -> std::int64_t;
  /// The upstream with the highest rendezvous weight for the wish's subject, or none.
  static auto home_of(const upstream_wish& wish, const std::vector<upstream_pointer>& fitting)
      -> upstream_pointer;
  auto view_of(const upstream& one, const upstream_wish& wish) const -> engine_view;
  auto tell(const upstream& one, bool failed) -> void;
  auto take_success(upstream& one, milliseconds now) -> void;
  auto take_failure(upstream& one, milliseconds began, milliseconds now) -> void;
  auto forgive_unanswered() -> void;
  static auto log_avoided(const upstream& one, const char* cause, milliseconds now) -> void;

  upstream_directory_settings settings_;
  own_link link_;
  bool link_blamed_ = false;  ///< Failures are put down to the link, until an upstream answers.
  std::map<std::string, common_parts> common_;  ///< By service.
  std::map<std::string, upstream_pointer> upstreams_;
  news_function on_news_;
  connected_function connected_;
};

}  // namespace birchlever

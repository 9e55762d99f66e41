/// The upstreams as the platform's list and this daemon's own traffic show them, and the choice among them.
#pragma once

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
#include "birchlever/upstream/hall_regions.h"
#include "birchlever/upstream/own_link.h"
#include "birchlever/upstream/upstream_pool.h"

namespace birchlever {

/// What one request tells of an upstream.
enum class upstream_evidence { served, full, failed, none };

/// What a request wants of an upstream.
struct upstream_wish {
  std::string service_;
  std::string model_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t most_tokens_ = 0;
  std::vector<prompt_part> parts_;
  std::string program_;        ///< Whose prompt it is; empty outside programs.
  std::string last_upstream_;  ///< The incarnation that ran the previous turn; empty when there was none.
  std::string home_subject_;  ///< Requests of one subject prefer the same upstream, through any daemon; empty
                              ///< when it is known where the previous turn ran.
  int most_here_ = 0;  ///< Requests of this daemon after which an upstream counts as full; 0: no bound.
  std::int64_t cache_room_ = 0;     ///< Tokens an engine of the service holds; 0 for plain services.
  std::set<std::string> excluded_;  ///< Upstreams that refused or failed this request.
  region_bounds regions_;           ///< Where it may be served.
  cold_start_limit cold_start_;     ///< What an upstream of the service bears after its start.
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
  hall_regions regions_;
  upstream_health_settings health_;
  upstream_pool_settings pools_;
  double least_kept_share_ = 0.25;  ///< With fewer left than this share of a service, those avoided are used
                                    ///< too: the load of all must not fall on a few.
  milliseconds full_memory_ = 60;   ///< ms for which an upstream that refused as full counts as full.
  std::shared_ptr<const clock_interface> clock_ = std::make_shared<steady_clock>();
};

/// What this daemon learned of an upstream, for its peers.
struct upstream_news {
  std::string id_;
  bool failed_ = false;    ///< Else it serves again.
  std::int64_t born_ = 0;  ///< Which start of it.
};

/// For coroutines of one loop.
class upstream_directory {
 public:
  explicit upstream_directory(upstream_directory_settings settings);

  /// Adds or changes an upstream. An entry of an earlier start than is known changes nothing; one of a later
  /// start is another upstream, and nothing that is known of the former holds for it.
  /// `announced`: a new one gets a line in the log; not so while a whole list of thousands is read.
  auto put(upstream_entry entry, bool announced = true) -> void;

  /// The upstream has left the list.
  auto remove(const std::string& id) -> void;

  /// Upstreams of these data halls get no request from now on, those of all others do.
  auto close_halls(std::set<std::string> halls) -> void;

  /// Upstreams that are listed.
  [[nodiscard]] auto size() const -> std::size_t { return upstreams_.size(); }

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

  /// Calls back for each upstream at which requests of this daemon run, listed or not.
  auto each_busy(const std::function<void(const upstream&)>& visit) const -> void;

 private:
  /// Upstreams to choose among, and how many of them are not avoided now: those come first.
  struct candidate_list {
    std::vector<upstream_pointer> usable_;
    std::size_t sound_ = 0;
  };

  auto insert(upstream_entry entry, bool announced) -> void;
  auto change(const upstream_pointer& known, upstream_entry entry) -> void;
  auto drop(const upstream_pointer& one) -> void;
  auto note_cold(upstream& one) const -> void;
  auto candidates(const upstream_wish& wish) -> candidate_list;
  auto usable(const upstream& one, const upstream_wish& wish, milliseconds now) const -> bool;
  auto held_tokens(const upstream_pointer& one, const upstream_wish& wish, std::int64_t common,
                   const upstream_pointer& home, const upstream_pointer& last) const -> std::int64_t;
  /// Prompt tokens that any engine of the service probably holds.
  [[nodiscard]] auto common_tokens(const upstream_wish& wish) const -> std::int64_t;
  /// The upstream with the highest rendezvous weight for the wish's subject among its neighbours, or none.
  auto home_of(const upstream_wish& wish, const upstream_pool& pool) const -> upstream_pointer;
  /// The upstream that ran the previous turn, if that start of it still takes requests; else none.
  auto last_of(const upstream_wish& wish) const -> upstream_pointer;
  auto view_of(const upstream& one, const upstream_wish& wish) const -> engine_view;
  auto tell(const upstream& one, bool failed) -> void;
  auto note_idle(const upstream& one) -> void;
  auto take_success(upstream& one, milliseconds now) -> void;
  auto take_failure(upstream& one, milliseconds began, milliseconds now) -> void;
  auto forgive_unanswered() -> void;
  static auto log_avoided(const upstream& one, const char* cause, milliseconds now) -> void;

  upstream_directory_settings settings_;
  own_link link_;
  bool link_blamed_ = false;  ///< Failures are put down to the link, until an upstream answers.
  std::map<std::string, common_parts> common_;                   ///< By service.
  std::unordered_map<std::string, upstream_pointer> upstreams_;  ///< By id.
  std::map<std::string, upstream_pool> pools_;                   ///< By service.
  std::vector<upstream_pointer> busy_;                           ///< Where requests of this daemon run.
  std::vector<upstream_pointer> busy_elsewhere_;                 ///< Where requests of others run.
  std::set<std::string> closed_halls_;
  news_function on_news_;
  connected_function connected_;
};

}  // namespace birchlever

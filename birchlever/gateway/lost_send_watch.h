/// Finds out what became of upstreams that got a request and did not answer it.
///
/// Ends of processes cannot be recognized in time in every case: another process may hold the port, the host
/// may be silent, the daemon may be gone. So a lost send counts like a crash from the moment of its loss, and
/// until the same incarnation is known to have run when the request could no longer run there. A crash that
/// is recognized later is recorded as such.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/controllers/crash_register.h"
#include "birchlever/gateway/identity_probe.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

struct gateway_context;

/// Settings of lost_send_watch. Times in ms.
struct lost_send_settings {
  /// Delay of the first probe of an upstream that lost a response. A process that ends closes its connections
  /// and its port in any order.
  milliseconds probe_delay_ = 20;
  milliseconds probe_limit_ = 200;
  milliseconds probe_interval_ = 1000;  ///< Between two probes of an upstream with unresolved sends.
  int max_probes_ = 16;                 ///< At the same time, not counting those that callers wait for.
  milliseconds watch_interval_ = 200;   ///< Between two checks of lost sends.
  /// Time after which an upstream that is no longer listed and shows no sign of life counts as ended. Longer
  /// than the time after which the entry of a server that ended is removed.
  milliseconds unlisted_after_ = 15'000;
  milliseconds watch_duration_ = 60'000;  ///< Time after which a send is not watched any more.
  /// Time after which a send that may still run is stored, since all daemons may end together. Peers hear of
  /// it at once; many are settled sooner.
  milliseconds store_after_ = 200;
  std::size_t max_watched_ = 1024;  ///< Of lost sends; beyond it the oldest stays counted, unwatched.
};

/// A send without a complete response.
struct lost_send {
  std::string fingerprint_;
  std::string content_fingerprint_;
  int content_round_ = 1;
  upstream_pointer target_;
  milliseconds sent_at_ = 0;
  milliseconds since_ = 0;  ///< When it was lost.
  /// Until when the request may run there, on the local clock. A life sign from before does not show that the
  /// upstream survived it.
  milliseconds may_run_until_ = 0;
  bool closed_by_upstream_ = false;  ///< The upstream closed the connection, which it also does when it ends.
};

/// Used by coroutines of one event loop.
class lost_send_watch : public std::enable_shared_from_this<lost_send_watch> {
 public:
  static auto create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                     const lost_send_settings& settings) -> std::shared_ptr<lost_send_watch>;

  /// Sets the function that returns true if a large part of the fleet may have ended a short time ago. More
  /// may end then, so lost sends are stored at once, before their upstream is probed.
  auto set_mass_loss_check(std::function<bool()> callback) -> void { mass_lost_ = std::move(callback); }

  /// Counts a lost send, unless its upstream proves to be alive, and watches it. Must be awaited before the
  /// caller learns of the failure. Returns what a probe showed, if one was made.
  auto examine(lost_send send) -> task<std::optional<identity_state>>;

  /// Returns the number of sends that are watched.
  [[nodiscard]] auto size() const -> std::size_t { return watched_.size(); }

 private:
  struct watched_send {
    lost_send send_;
    bool stored_ = false;        ///< The store was asked to keep the open send.
    bool probed_again_ = false;  ///< A second probe was asked for.
  };

  /// The latest probe of an incarnation.
  struct probe_record {
    std::optional<identity_state> state_;  ///< Empty while the probe is in progress.
    milliseconds started_at_ = 0;
    milliseconds finished_at_ = 0;
  };

  lost_send_watch(gateway_context& context, std::shared_ptr<crash_register> crashes,
                  const lost_send_settings& settings);

  /// Counts a send whose caller left, or whose deadline passed.
  auto announce_unanswered(lost_send send) -> void;
  auto watch(watched_send watched) -> void;
  auto check_watched() -> task<>;
  /// Checks one send. Returns true if it needs not be watched any more.
  auto resolve(watched_send& watched) -> bool;
  /// Settles a send whose upstream was alive when the request could no longer run there.
  auto settle(const lost_send& send, const char* grounds) -> void;
  [[nodiscard]] auto many_daemons_lost() const -> bool { return mass_lost_ && mass_lost_(); }
  /// Has the open send written if it was not settled soon.
  auto store_if_due(watched_send& watched) -> void;
  auto request_probe(watched_send& watched) -> void;
  /// Returns why the upstream of a send is known to have ended, or null.
  [[nodiscard]] auto end_evidence(const lost_send& send) const -> const char*;
  /// Returns true if another incarnation took the place of the one that got the send.
  [[nodiscard]] auto replaced(const lost_send& send) const -> bool;
  /// Returns the records of a crash that was recognized after the caller learned of the failure.
  [[nodiscard]] auto late_crashes_of(const watched_send& watched) const -> std::vector<send_record>;
  auto record_crash(lost_send send, std::vector<send_record> crashes, const char* evidence) -> task<>;
  /// Probes an upstream, or uses a probe that started at or after `since`.
  auto probe(upstream_pointer target, milliseconds since) -> task<identity_state>;
  auto run_probe(upstream_pointer target) -> task<>;
  auto probe_in_background(upstream_pointer target) -> task<>;
  auto remove_old_probes() -> void;
  [[nodiscard]] auto health_path_of(const upstream& target) const -> std::string;

  gateway_context* context_;
  std::shared_ptr<crash_register> crashes_;
  lost_send_settings settings_;
  std::map<std::string, probe_record> probes_;  ///< By incarnation; only recent ones.
  std::deque<watched_send> watched_;
  std::function<bool()> mass_lost_;
  int background_probes_ = 0;
  bool watching_ = false;
};

}  // namespace birchlever

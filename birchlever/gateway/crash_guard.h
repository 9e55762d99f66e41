/// Keeps a request under which upstreams end from ending further ones.
///
/// A request is suspected once an upstream ended under it. Requests that ran beside the one that ended their
/// upstream are suspected too; running suspected requests apart from each other lets these be served, and
/// leaves the harmful one alone with its next crash. A suspected request is recorded before it is sent, so
/// that the send counts even if this daemon ends with the upstream.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "birchlever/controllers/crash_register.h"
#include "birchlever/gateway/upstream_attempt.h"
#include "birchlever/http/port_probe.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

struct gateway_request;

/// Settings of crash_guard. Times in ms.
struct crash_guard_settings {
  /// Delay of the first probe of an upstream that lost a response. A process that ends closes its connections
  /// and its port in any order.
  milliseconds probe_delay_ = 20;
  milliseconds probe_limit_ = 200;
  milliseconds probe_lifetime_ = 100;  ///< Time for which the result of a probe is used again.
  milliseconds watch_interval_ = 200;  ///< Interval between two checks of lost sends.
  /// Time after which a lost send is no longer attributed to the end of its upstream. Longer than the time
  /// after which the entry of a server that ended is removed.
  milliseconds watch_duration_ = 15'000;
  /// Time without any response after which an upstream may have ended when its callers give up.
  milliseconds silent_after_ = 1000;
  std::size_t max_watched_ = 1024;        ///< Lost sends; the oldest is settled first.
  milliseconds unresolved_retry_ = 1000;  ///< Retry-After while outcomes of earlier sends are unknown.
  milliseconds retry_after_ = 3000;  ///< Retry-After of suspected requests while the store is unavailable.
};

/// Used by coroutines of one event loop. Must outlive the requests that use it.
class crash_guard : public std::enable_shared_from_this<crash_guard> {
 public:
  static auto create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                     const crash_guard_settings& settings) -> std::shared_ptr<crash_guard>;

  using loss_check_function = std::function<bool()>;

  /// Sets the function that returns true if a daemon may have ended a short time ago. What it saw end may
  /// then be unknown, and one upstream fewer may end under a request.
  auto set_loss_check(loss_check_function callback) -> void { daemon_lost_ = std::move(callback); }

  /// Returns the number of upstreams that may end under a piece of work now.
  [[nodiscard]] auto max_crashes() const -> int;

  /// Returns the number of earlier sends of the request under which the upstream ended or may have ended.
  [[nodiscard]] auto counted_sends(const gateway_request& request) const -> int;

  /// Returns the error with which a request must be rejected, or nothing if it may be sent.
  [[nodiscard]] auto refusal(const gateway_request& request) const -> std::optional<error>;

  /// Returns sets of upstream ids that the request should not be sent to, the preferred one first. Another
  /// may be used if no upstream is left.
  [[nodiscard]] auto avoided_upstreams(const gateway_request& request) const
      -> std::vector<std::set<std::string>>;

  /// Records a send before it is made. Yields an error if it must not be made. Requests that are not
  /// suspected need no I/O. Failures: upstreams_crashed, sends_unresolved, store_unavailable.
  auto prepare_send(const gateway_request& request, const upstream& target) -> task<status>;

  /// Finds out whether the upstream of a send has ended, and records it before the caller learns of the
  /// failure. `sent_at` is when the request was sent. Returns the state of the upstream's port if it was
  /// probed.
  auto conclude_send(const gateway_request& request, upstream_pointer target, attempt_outcome outcome,
                     milliseconds sent_at) -> task<std::optional<port_state>>;

 private:
  /// A send without response whose upstream may have ended.
  struct watched_send {
    std::string fingerprint_;
    upstream_pointer target_;
    milliseconds since_ = 0;
    bool closed_by_upstream_ = false;
    bool probed_again_ = false;
  };

  /// The latest probe of an upstream's port.
  struct port_check {
    std::optional<port_state> state_;  ///< Empty while the probe is in progress.
    milliseconds finished_at_ = 0;
    std::int64_t round_ = 0;  ///< The round of checks of watched sends in which it finished.
  };

  crash_guard(gateway_context& context, std::shared_ptr<crash_register> crashes,
              const crash_guard_settings& settings);

  [[nodiscard]] auto make_refusal(const gateway_request& request, int crashes) const -> error;
  auto record_crash(std::string fingerprint, upstream_pointer target, const char* evidence) -> task<>;
  auto watch(watched_send send) -> void;
  auto check_watched() -> task<>;
  /// Checks one send. Returns false while it must be watched further.
  auto resolve(watched_send& send) -> task<bool>;
  /// Records a lost send whose upstream may have ended, without waiting for the store.
  auto record_open(const watched_send& send) -> void;
  /// Returns true if another incarnation took the place of the one that got the send.
  [[nodiscard]] auto replaced(const watched_send& send) const -> bool;
  /// Probes the port of an upstream. Calls at about the same time share one probe.
  auto probe(upstream_pointer target) -> task<port_state>;
  /// Likewise, with one probe for each upstream and round of checks: silent ports hold up the others.
  auto probe_in_round(upstream_pointer target) -> task<port_state>;
  auto remove_old_checks() -> void;

  gateway_context* context_;
  std::shared_ptr<crash_register> crashes_;
  crash_guard_settings settings_;
  std::map<std::string, port_check> checks_;  ///< By incarnation; only recent ones.
  std::deque<watched_send> watched_;
  std::int64_t round_ = 0;  ///< Number of the round of checks of watched sends.
  loss_check_function daemon_lost_;
  bool watching_ = false;
};

}  // namespace birchlever

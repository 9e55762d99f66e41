/// Keeps a request under which upstreams end from ending further ones.
///
/// A request is suspected once an upstream ended under it. Requests that ran beside the one that ended their
/// upstream are suspected too; running suspected requests apart from each other lets these be served, and
/// leaves the harmful one alone with its next crash. A suspected request is recorded before it is sent, so
/// that the send counts even if this daemon ends with the upstream.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/controllers/crash_register.h"
#include "birchlever/gateway/lost_send_watch.h"
#include "birchlever/gateway/upstream_attempt.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

struct gateway_request;

/// How many of the other daemons hear of a send from this daemon directly.
enum class peer_contact {
  all,
  most,  ///< More than half of the fleet, this daemon included.
  few
};

/// Returns the name of a degree of contact in logs.
[[nodiscard]] auto name_of(peer_contact contact) -> std::string_view;

/// Settings of crash_guard. Times in ms.
struct crash_guard_settings {
  milliseconds unresolved_retry_ = 1000;  ///< Retry-After while outcomes of earlier sends are unknown.
  milliseconds retry_after_ = 3000;     ///< Retry-After of suspected requests while the store is unavailable.
  milliseconds elsewhere_retry_ = 100;  ///< Retry-After where only other daemons can know of all sends.
  /// Time after which a send that still runs is recorded while many daemons may have been lost. Shorter ones
  /// cost no write.
  milliseconds record_running_after_ = 100;
  lost_send_settings lost_sends_;
};

/// Used by coroutines of one event loop. Must outlive the requests that use it.
class crash_guard {
 public:
  static auto create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                     const crash_guard_settings& settings) -> std::shared_ptr<crash_guard>;

  using loss_check_function = std::function<bool()>;

  /// Sets the function that returns true if a daemon may have ended a short time ago. What it saw end may
  /// then be unknown, and one upstream fewer may end under a request.
  auto set_loss_check(loss_check_function callback) -> void { daemon_lost_ = std::move(callback); }

  /// Sets the function that returns true if a large part of the fleet may have ended a short time ago. More
  /// may end then, and with them what is known of running sends, so these are recorded, too.
  auto set_mass_loss_check(loss_check_function callback) -> void;

  using contact_function = std::function<peer_contact()>;

  /// Sets the function that returns this daemon's contact with its peers. Without it all of them hear of
  /// each send.
  auto set_contact_check(contact_function callback) -> void { contact_ = std::move(callback); }

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
  /// suspected need no I/O. Suspected ones are sent only by daemons that hear most of the fleet, since each
  /// side of a partition may know of other sends, and only if the store or all peers learn of the send.
  /// Failures: upstreams_crashed, sends_unresolved, store_unavailable.
  auto prepare_send(gateway_request& request, const upstream& target) -> task<status>;

  /// Records what became of a send before the caller learns of a failure. A send without a complete response
  /// counts until its upstream is known to have survived it. `sent_at` is when it was made. Returns what a
  /// probe of the upstream showed, if one was made.
  auto conclude_send(const gateway_request& request, upstream_pointer target, attempt_outcome outcome,
                     milliseconds sent_at) -> task<std::optional<identity_state>>;

 private:
  crash_guard(gateway_context& context, std::shared_ptr<crash_register> crashes,
              const crash_guard_settings& settings);

  [[nodiscard]] auto make_refusal(const gateway_request& request, const std::string& fingerprint,
                                  int crashes) const -> error;
  [[nodiscard]] auto make_store_error(int crashes) const -> error;
  [[nodiscard]] auto make_contact_error(int crashes) const -> error;
  [[nodiscard]] auto contact() const -> peer_contact { return contact_ ? contact_() : peer_contact::all; }
  /// Returns why a recorded send must not be made, or nothing. `stored`: the store has the record.
  [[nodiscard]] auto send_refusal(const gateway_request& request, const std::string& fingerprint,
                                  bool stored) const -> std::optional<error>;
  /// Records a send of work that is not suspected if it still runs after a while.
  auto record_running(std::string fingerprint, std::string incarnation, std::shared_ptr<const bool> running)
      -> task<>;
  /// Settles a send that did not run.
  auto settle_unsent(const gateway_request& request, const std::string& incarnation) -> void;

  gateway_context* context_;
  std::shared_ptr<crash_register> crashes_;
  std::shared_ptr<lost_send_watch> lost_sends_;
  crash_guard_settings settings_;
  loss_check_function daemon_lost_;
  loss_check_function mass_lost_;
  contact_function contact_;
};

}  // namespace birchlever

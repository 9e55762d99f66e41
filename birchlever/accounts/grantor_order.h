/// Selects the grantor of an account by rendezvous hashing. All daemons compute the same order from the same
/// membership list, so neither an election nor stored state is needed.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Settings of grantor_order. Times in ms.
struct grantor_order_settings {
  std::string vm_;                      ///< VM of this daemon.
  milliseconds initial_backoff_ = 500;  ///< Initial time for which an unresponsive daemon is skipped; doubled
                                        ///< each further time.
  milliseconds max_backoff_ = 8000;     ///< Upper limit of that time.
  std::size_t max_candidates_ = 2;      ///< Maximum number of daemons asked per request.
  std::size_t max_grantors_ = 5;        ///< Maximum number of daemons eligible as grantors of one account;
                                        ///< limits how many grant at once during a network partition.
};

/// Deterministic: depends only on the membership list, the recorded responses and the times passed in.
class grantor_order {
 public:
  explicit grantor_order(grantor_order_settings settings) : settings_{std::move(settings)} {}

  /// Sets the other members of the fleet, without this daemon.
  auto set_members(std::vector<std::string> vms) -> void { members_ = std::move(vms); }

  /// Returns the number of daemons, this one included.
  [[nodiscard]] auto size() const -> std::size_t { return members_.size() + 1; }

  /// Returns the daemons to ask in order of preference, without those being skipped. May be empty.
  [[nodiscard]] auto candidates(const std::string& account, milliseconds now) const
      -> std::vector<std::string>;

  /// Returns the primary grantor, responsive or not.
  [[nodiscard]] auto primary(const std::string& account) const -> std::string;

  /// Records that a daemon did not respond.
  auto record_unresponsive(const std::string& vm, milliseconds now) -> void;

  /// Records a message from a daemon, which ends its backoff.
  auto record_seen(const std::string& vm) -> void { unresponsive_.erase(vm); }

 private:
  struct backoff {
    int failures_ = 0;
    milliseconds until_ = 0;
  };

  grantor_order_settings settings_;
  std::vector<std::string> members_;
  std::unordered_map<std::string, backoff> unresponsive_;
};

}  // namespace birchlever

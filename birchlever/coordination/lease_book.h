/// What this daemon knows about the use of leased reservations.
///
/// A leased reservation lets one turn start without a store call, so the store does not show whether it is in
/// use. Before a turn starts under a lease, its daemon records the use with the lease's witness, another
/// daemon. When the daemon is lost, the witness tells a lease that was used, which counts as spent, from one
/// that was not, which is released. A witness that was asked about an unused lease revokes it: it records no
/// use of it from then on.
///
/// Has no I/O; the clock is passed in. Not thread safe.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "birchlever/core/clock.h"

namespace birchlever {

/// The use of a lease by this daemon.
enum class lease_use {
  unknown,      ///< Not used here, as far as remembered.
  in_use,       ///< A turn runs under it, or its end is not stored yet.
  transferred,  ///< This daemon transferred it to another one.
  retired       ///< No daemon uses it, now or later.
};

/// Returns the name of a use in messages and logs.
[[nodiscard]] auto name_of(lease_use use) -> std::string_view;

/// Leases are identified by the names of their reservations. Times are in ms on the local clock.
class lease_book {
 public:
  /// Records that a turn starts under the lease. Returns false if it is used, retired or transferred.
  /// Remembered until the use ends, or until `keep_until` if its end cannot be stored.
  [[nodiscard]] auto begin_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool;

  /// Records that the use of a lease ended: its end is stored.
  auto end_use(const std::string& lease) -> void;

  /// Records that the lease is transferred to a daemon. Returns false if it is used, retired or transferred.
  /// Remembered until `keep_until`.
  [[nodiscard]] auto transfer(const std::string& lease, const std::string& recipient, milliseconds keep_until,
                              milliseconds now) -> bool;

  /// Records that no daemon uses the lease from now on. Does nothing if this daemon uses or transferred it.
  /// Returns true if it is retired. Remembered until `keep_until`.
  auto retire(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool;

  /// Records that the lease is retired although its use had begun here: the turn did not start.
  auto abandon_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> void;

  /// Records that the lease is retired although this daemon had transferred it: its recipient, or its
  /// witness, will not use it. Returns true if it is retired, false if this daemon uses it.
  auto confirm_unused(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool;

  [[nodiscard]] auto use_of(const std::string& lease) const -> lease_use;

  /// Returns the daemon that the lease was transferred to; empty if none.
  [[nodiscard]] auto recipient_of(const std::string& lease) const -> std::string;

  /// As witness, records a use by any daemon. Returns false if the lease is revoked.
  [[nodiscard]] auto witness_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool;

  /// As witness, revokes a lease. Returns false if a use of it is recorded.
  [[nodiscard]] auto revoke(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool;

  /// Returns the number of remembered leases.
  [[nodiscard]] auto size() const -> std::size_t { return own_.size() + witnessed_.size(); }

 private:
  struct own_record {
    lease_use use_ = lease_use::unknown;
    std::string recipient_;
    milliseconds keep_until_ = 0;
  };
  struct witness_record {
    bool revoked_ = false;
    milliseconds keep_until_ = 0;
  };

  auto forget_old(milliseconds now) -> void;

  std::unordered_map<std::string, own_record> own_;
  std::unordered_map<std::string, witness_record> witnessed_;
  milliseconds forget_at_ = 0;  ///< Time of the next search for records that need not be kept.
};

}  // namespace birchlever

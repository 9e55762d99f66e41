/// Grants each program at most one allowance beyond its budget, without access to the store.
///
/// Programs are hashed into ranges. The row of a range names the daemon that holds it, the end of its lease
/// and the time from which it may grant. A daemon acquires a range that is free or whose lease has expired.
/// After a takeover it grants only once every program that the previous holder may have granted to has ended,
/// so grants need no record in the store and work during an outage.
///
/// The number of ranges must never change on a running fleet: rows are stored by range, so a daemon with
/// another number would find a program's range elsewhere and could grant to a program that has a grant
/// already.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/http/task.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Settings of allowance_ranges. Times in ms.
struct allowance_settings {
  std::string table_ = "allowances";
  std::string daemon_;  ///< Identifies this incarnation of the daemon.
  /// Number of ranges, 1 to 64. Must be equal on all daemons and never change on a running fleet: stored rows
  /// and grants depend on it.
  int ranges_ = 32;
  milliseconds lease_ = 60000;              ///< Lease duration; must exceed the longest store outage.
  milliseconds renewal_threshold_ = 40000;  ///< Leases with less time left are renewed.
  milliseconds poll_interval_ = 5000;       ///< Interval between polls of the rows.
  milliseconds retry_interval_ = 500;       ///< Delay after a failed poll.
  milliseconds call_limit_ = 1500;          ///< Timeout of one store call.
};

/// Holds ranges and grants allowances. Not thread safe: use from the coroutines of one event loop.
class allowance_ranges : public std::enable_shared_from_this<allowance_ranges> {
 public:
  /// Returns true if this daemon is the preferred holder of a key.
  using preference_function = std::function<bool(std::string_view)>;

  /// Returns the maximum lifetime of a program in ms, resumption included; 0 while unknown.
  using lifetime_function = std::function<milliseconds()>;

  /// Creates the ranges and starts polling. Failures: invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const allowance_settings& settings, preference_function is_preferred,
                     lifetime_function program_lifetime) -> result<std::shared_ptr<allowance_ranges>>;

  /// Returns the range that a program hashes to.
  [[nodiscard]] auto range_of(std::string_view program_key) const -> int;

  /// Grants a program the given tokens if this daemon holds the program's range and has not granted to it
  /// before. Returns the tokens granted, 0 otherwise.
  auto grant(const std::string& program_key, std::int64_t tokens) -> std::int64_t;

  /// Returns a bit mask of the ranges for which this daemon may grant now.
  [[nodiscard]] auto held_ranges() const -> std::uint64_t;

  /// Reads all rows once, then acquires and renews ranges. Returns false if a store call fails or a row is
  /// malformed.
  auto poll() -> task<bool>;

  /// Releases the ranges without grants, so that other daemons can acquire them immediately, and stops
  /// granting.
  auto release() -> task<>;

 private:
  struct row;
  struct holding {
    std::int64_t version_ = 0;
    milliseconds usable_until_ = 0;  ///< On the local clock; earlier than the lease's end on the store's.
    milliseconds grants_from_ = 0;   ///< On the store's clock.
    milliseconds store_clock_offset_ = 0;  ///< Lower bound of the store's clock minus the local clock.
    bool has_granted_ = false;
  };

  allowance_ranges(event_loop& loop, std::shared_ptr<row_store_interface> rows, allowance_settings settings,
                   preference_function is_preferred, lifetime_function program_lifetime);

  static auto encode(const row& held) -> std::string;
  static auto decode(std::string_view value) -> result<row>;
  auto run() -> task<>;
  auto should_acquire(int range, const row* current, milliseconds store_now) const -> bool;
  auto acquire(int range, const row* current, std::int64_t version, milliseconds requested_at,
               milliseconds store_now) -> task<bool>;
  auto can_grant(int range) const -> bool;
  auto evict_ended() -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  allowance_settings settings_;
  preference_function is_preferred_;
  lifetime_function program_lifetime_;
  steady_clock clock_;
  std::map<int, holding> holdings_;
  std::unordered_map<std::string, milliseconds> granted_at_;  ///< Time of the grant by program.
  bool released_ = false;
};

}  // namespace birchlever

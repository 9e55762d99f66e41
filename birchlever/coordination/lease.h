/// Ownership of one shard, acquired by compare-and-set in the table service.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// Settings of a lease. Times in milliseconds.
struct lease_settings {
  milliseconds duration_ = 6000;        ///< Measured from the send of a renewal.
  milliseconds margin_ = 1000;          ///< The holder stops this early; a successor starts this late.
  milliseconds renew_interval_ = 2000;  ///< Interval between renewals.
  milliseconds rank_step_ = 400;        ///< Extra wait per rank behind the preferred owner.
};

/// Contents of a lease row.
struct lease_claim {
  std::string owner_;       ///< Identity of the holding process; empty after a release.
  std::string address_;     ///< Peer address of the holder, "ip:port".
  std::int64_t epoch_ = 0;  ///< Increases with every change of holder.
  std::string successor_;   ///< Machine that should acquire a released lease.
};

/// The view of one process on the lease of a shard. Not thread safe: owned by a single controller.
/// Safety depends on monotonic clocks only: a holder measures from before its renewal was sent, an observer
/// from when it first read the current version of the row.
class lease {
 public:
  /// Validates the settings and creates a lease that is not held. Failures: invalid_setting.
  static auto create(const lease_settings& settings, int shard, std::string owner, std::string address,
                     std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock)
      -> result<lease>;

  /// Returns the key of a shard's lease row.
  static auto row_key(int shard) -> std::string;

  /// Returns the key of the row that fences stale writers; its version changes only with the epoch.
  static auto fence_key(int shard) -> std::string;

  /// Parses the value of a lease row. Failures: malformed_json.
  static auto parse(const std::string& text) -> result<lease_claim>;

  /// Applies the row as read from the store.
  auto observe(const std::optional<table_row>& row) -> void;

  /// Returns true if this process may try to acquire the lease now, given its rank in the preference order.
  [[nodiscard]] auto can_acquire(int rank) const -> bool;

  /// Tries to acquire the lease. Failures: store_conflict if another process acquired it first; other
  /// failures of the store.
  auto acquire() -> status;

  /// Extends a held lease. Failures: lease_lost if another process holds it, store_unknown if an earlier
  /// renewal took effect late (renew again), other failures of the store.
  auto renew() -> status;

  /// Releases a held lease immediately and names the machine that should acquire it. Failures: lease_lost.
  auto release(const std::string& successor) -> status;

  /// Stops holding without a write to the store; the row expires on its own.
  auto abandon() -> void;

  /// Returns true until this process releases or abandons the lease or learns that it lost it, even after
  /// expiry.
  [[nodiscard]] auto holding() const -> bool { return holding_; }

  /// Returns the time until which this process may act as owner, on its clock; 0 if not held.
  [[nodiscard]] auto valid_until() const -> milliseconds { return holding_ ? valid_until_ : 0; }

  /// Returns true while this process may act as owner.
  [[nodiscard]] auto held() const -> bool;

  /// Returns true if a renewal is due.
  [[nodiscard]] auto renewal_due() const -> bool;

  /// Returns the epoch this process holds, or the last one observed.
  [[nodiscard]] auto epoch() const -> std::int64_t { return claim_.epoch_; }

  /// Returns the version of the fence row written by this process's epoch.
  [[nodiscard]] auto fence_version() const -> std::int64_t { return fence_version_; }

  /// Returns the claim as last observed or written.
  [[nodiscard]] auto claim() const -> const lease_claim& { return claim_; }

 private:
  lease(const lease_settings& settings, int shard, std::string owner, std::string address,
        std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock);

  auto write(const table_transaction& transaction) -> result<std::int64_t>;
  auto drop() -> void;

  lease_settings settings_;
  int shard_ = 0;
  std::string owner_;
  std::string address_;
  std::shared_ptr<table_store_interface> store_;
  std::shared_ptr<clock_interface> clock_;
  lease_claim claim_;
  std::int64_t row_version_ = 0;
  std::int64_t fence_version_ = 0;
  milliseconds observed_since_ = 0;
  milliseconds valid_until_ = 0;
  milliseconds renewed_at_ = 0;
  bool observed_ = false;
  bool holding_ = false;
};

}  // namespace birchlever

/// The right to sequence one shard, won by compare-and-set in the table service.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// How long a lease lasts and how careful both sides are. Times in milliseconds.
struct lease_settings {
  milliseconds duration_ = 6000;     ///< From the send of a renewal until the right ends.
  milliseconds margin_ = 1000;       ///< Holder stops this early; successor starts this late.
  milliseconds renew_every_ = 2000;  ///< Gap between renewals.
  milliseconds rank_step_ = 400;     ///< Extra wait per place behind the preferred owner.
};

/// What a lease row says.
struct lease_claim {
  std::string owner_;       ///< Identity of the holding process; empty when released.
  std::string address_;     ///< Peer address of the holder, "ip:port".
  std::int64_t epoch_ = 0;  ///< Rises with every change of holder.
  std::string successor_;   ///< Who should take a released lease.
};

/// One shard's lease as one process sees it. Not thread safe: one controller owns it.
/// Safety rests on the monotonic clock only: a holder counts from before its renewal was sent, an observer
/// from when it first saw the row unchanged.
class lease {
 public:
  /// Checks the settings and makes a lease that is not held.
  static auto create(const lease_settings& settings, int shard, std::string owner, std::string address,
                     std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock)
      -> result<lease>;

  /// The key of a shard's lease row.
  static auto row_key(int shard) -> std::string;

  /// The key of the row that fences stale writers; its version changes with the epoch only.
  static auto fence_key(int shard) -> std::string;

  /// Reads a lease row's value.
  static auto parse(const std::string& text) -> result<lease_claim>;

  /// Takes in the row as last read from the store.
  auto observe(const std::optional<table_row>& row) -> void;

  /// True when this process may try to take the lease now, given its place in the preference order.
  [[nodiscard]] auto can_acquire(int rank) const -> bool;

  /// Tries to take the lease. Failures: store_conflict when another process won.
  auto acquire() -> status;

  /// Extends a held lease. Failures: lease_lost when another process holds it.
  auto renew() -> status;

  /// Gives a held lease up at once, naming who should take it.
  auto release(const std::string& successor) -> status;

  /// Stops holding without telling the store; the row runs out by itself.
  auto abandon() -> void;

  /// True until this process gave the lease up or learned that it lost it, even if it ran out.
  [[nodiscard]] auto holding() const -> bool { return holding_; }

  /// Until when this process may act as owner, on its clock; zero when not held.
  [[nodiscard]] auto valid_until() const -> milliseconds { return holding_ ? valid_until_ : 0; }

  /// True while this process may act as owner.
  [[nodiscard]] auto held() const -> bool;

  /// True when it is time to renew.
  [[nodiscard]] auto renewal_due() const -> bool;

  /// The epoch this process holds, or the last one observed.
  [[nodiscard]] auto epoch() const -> std::int64_t { return claim_.epoch_; }

  /// Version of the fence row that this process's epoch wrote.
  [[nodiscard]] auto fence_version() const -> std::int64_t { return fence_version_; }

  /// The claim as last seen or made.
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
  bool seen_ = false;
  bool holding_ = false;
};

}  // namespace birchlever

/// Internal types of program_store, shared by its source files.
#pragma once

#include <map>
#include <set>

#include "birchlever/coordination/program_keys.h"
#include "birchlever/coordination/program_store.h"

namespace birchlever {

/// Version of a row that has not been read yet.
inline constexpr auto version_not_read = std::int64_t{-1};

/// Version of a row that does not exist.
inline constexpr auto version_absent = std::int64_t{0};

/// Approximate memory overhead of an entry or a record, in bytes.
inline constexpr auto entry_overhead = std::size_t{512};

/// Number of a turn's first piece, which is stored last.
inline constexpr auto first_piece = "000";

/// Returns the approximate memory use of a turn in bytes.
[[nodiscard]] inline auto bytes_of(const turn_record& record) -> std::size_t {
  return record.input_.size() + record.output_.size() + entry_overhead;
}

/// A pending change of a program's rows, and its outcome.
struct program_store::change {
  enum class kind {
    reserve,  ///< For a turn whose history is stored.
    draw,     ///< For turns whose history is not stored.
    settle,
    release
  };

  explicit change(event_loop& loop) : finished_{loop} {}

  /// Returns true if the change starts a turn. Such a change is obsolete once its caller has left.
  [[nodiscard]] auto starts_turn() const -> bool { return kind_ == kind::reserve || kind_ == kind::draw; }

  /// Returns the priority of the write.
  [[nodiscard]] auto rank() const -> write_priority {
    if (kind_ == kind::settle && record_) {
      return write_priority::ends_turn;
    }
    if (starts_turn()) {
      return start_rank_;
    }
    return write_priority::cleanup;
  }

  kind kind_ = kind::reserve;
  write_priority start_rank_ = write_priority::continues_program;  ///< Priority if the change starts a turn.
  std::string turn_;
  std::string turn_key_;  ///< Key name of a settled turn.
  std::string reservation_;
  std::int64_t tokens_ = 0;
  std::int64_t max_tokens_ = 0;
  milliseconds max_next_duration_ = 0;
  std::optional<std::int64_t> budget_;
  std::shared_ptr<const turn_record> record_;
  milliseconds times_out_at_ = 0;
  milliseconds turn_ends_by_ = 0;  ///< Time by which the end of a turn that it starts is stored.
  bool sent_ = false;              ///< Was part of a transaction that was sent, so it may be committed.
  bool unknown_ = false;           ///< Was part of a transaction without a response.
  bool expired_ = false;           ///< The caller has left.
  bool turn_checked_ = false;      ///< The turn's row was read after a transaction without a response.
  std::size_t staged_rows_ = 0;    ///< Pieces of the turn that are stored already, from the last one on.
  bool staged_ = false;            ///< All pieces but the first one are.
  bool done_ = false;
  bool budget_leased_ = false;  ///< Refused because the rest of the budget is reserved, not spent.
  status outcome_ = success;
  loop_signal finished_;
};

/// Separates turn and daemon in the name of a leased reservation.
inline constexpr auto lease_separator = '+';

/// Returns the name of the reservation that a daemon leases when a turn ends.
[[nodiscard]] inline auto lease_name(const std::string& turn_key, const std::string& daemon) -> std::string {
  return turn_key + lease_separator + daemon;
}

/// Returns the daemon that holds a leased reservation, given the reservation's name; empty for other
/// reservations.
[[nodiscard]] inline auto holder_of_lease(const std::string& reservation) -> std::string {
  auto sign = reservation.rfind(lease_separator);
  return sign == std::string::npos ? std::string{} : reservation.substr(sign + 1);
}

/// A durable reservation for the next turn of a program that arrives at this daemon.
struct leased_reservation {
  std::string name_;
  std::int64_t tokens_ = 0;
  milliseconds usable_until_ = 0;  ///< On the local clock.
  milliseconds expires_at_ = 0;    ///< On the store's clock.
  std::string witness_;
};

/// The inquiries that did not find a lease to be unused.
struct lease_inquiry {
  milliseconds asked_at_ = 0;  ///< Of the last one, on the local clock.
  lease_state state_ = lease_state::unresolved;
  int after_expiry_ =
      0;  ///< Number made after the lease had expired: any turn under it has ended or is lost.
};

/// Cached state of a program. It is evicted only while nobody but the cache refers to it.
struct program_store::entry {
  explicit entry(event_loop& loop) : changed_{loop} {}

  std::string name_;  ///< Name in keys.
  std::string part_;
  program_record record_;
  std::int64_t version_ = version_not_read;
  std::optional<milliseconds> record_at_;  ///< Time at which the record was the newest, on the local clock.
  std::unordered_map<std::string, std::shared_ptr<const turn_record>> turns_;
  std::vector<leased_reservation> leased_;
  std::map<std::string, lease_inquiry> inquired_;  ///< Leases of other daemons that may be in use.
  bool inquiring_ = false;                         ///< Daemons are being asked about expired leases.
  int resolved_ = 0;  ///< Changes so far of what is known about the leases of other daemons.
  std::map<std::string, milliseconds>
      started_;             ///< Reservations of turns in progress on this daemon, and their starts.
  std::int64_t drawn_ = 0;  ///< Tokens drawn by this daemon and not used by a turn.
  std::set<std::string> transferred_to_;  ///< Daemons that received drawn tokens from this one.
  std::deque<change_pointer> queue_;
  std::size_t separate_changes_ = 0;  ///< Next changes that are written one by one, after the store rejected
                                      ///< a transaction that had several.
  bool writing_ = false;
  bool confirming_ = false;  ///< The record is being read to confirm that the budget is spent.
  loop_signal changed_;      ///< This daemon committed a change of the program, or read its record.
  milliseconds last_used_ = 0;
};

/// Result of requesting a reservation from the store.
struct program_store::reserve_outcome {
  status status_ = success;
  bool budget_leased_ = false;  ///< Refused because the rest of the budget is reserved, not spent.
};

/// Result of applying a change to a record.
enum class program_store::change_result {
  applied,
  done_before,
  over_budget,
  budget_leased,
  expired,
  unclear
};

/// A transaction that makes the next changes of a program.
struct program_store::batch_plan {
  program_record record_;
  row_transaction transaction_;
  std::vector<std::pair<change_pointer, change_result>> changes_;
  bool writes_ = false;
  std::vector<leased_reservation> leased_;
  bool needs_reload_ = false;     ///< A refusal would be based on a record that may be stale.
  change_pointer needs_staging_;  ///< The next change, if its turn exceeds a transaction.
  std::size_t turn_bytes_ = 0;    ///< Of the rows of turns, as the store counts them.
  bool needs_turns_ = false;      ///< The turns' rows must be read to determine whether a change was made.
};

}  // namespace birchlever

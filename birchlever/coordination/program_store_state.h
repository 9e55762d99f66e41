/// What program_store keeps to itself, shared by its three source files.
#pragma once

#include <set>

#include "birchlever/coordination/program_keys.h"
#include "birchlever/coordination/program_store.h"

namespace birchlever {

/// The version of a row that was not read yet.
inline constexpr auto version_not_read = std::int64_t{-1};

/// The version that stands for no row.
inline constexpr auto version_absent = std::int64_t{0};

/// Bytes that an entry or a record costs beside its texts, roughly.
inline constexpr auto entry_overhead = std::size_t{512};

/// Bytes that a turn takes in memory.
[[nodiscard]] inline auto bytes_of(const turn_record& record) -> std::size_t {
  return record.input_.size() + record.output_.size() + entry_overhead;
}

/// One wanted change of a program's rows, and what became of it.
struct program_store::change {
  enum class kind {
    reserve,  ///< Of a turn whose history is kept.
    draw,     ///< For turns of which nothing is kept.
    settle,
    release
  };

  explicit change(event_loop& loop) : finished_{loop} {}

  /// True when it lets a turn begin: then nobody wants it any more once its caller has left.
  [[nodiscard]] auto begins_turn() const -> bool { return kind_ == kind::reserve || kind_ == kind::draw; }

  /// How urgent its write is.
  [[nodiscard]] auto rank() const -> write_priority {
    if (kind_ == kind::settle && whole_) {
      return write_priority::ends_turn;
    }
    if (begins_turn()) {
      return begin_rank_;
    }
    return write_priority::cleanup;
  }

  kind kind_ = kind::reserve;
  write_priority begin_rank_ = write_priority::continues_program;  ///< Of a turn that wants to begin.
  std::string turn_;
  std::string turn_key_;  ///< As it stands in keys; of a settled turn.
  std::string reservation_;
  std::int64_t tokens_ = 0;
  std::int64_t most_tokens_ = 0;
  milliseconds longest_turn_ = 0;
  std::optional<std::int64_t> budget_;
  std::shared_ptr<const turn_record> whole_;
  milliseconds give_up_at_ = 0;
  bool sent_ = false;       ///< A transaction with it went out, so it may have been done.
  bool expired_ = false;    ///< Its caller has left.
  bool looked_up_ = false;  ///< The turn's row was looked for, after a transaction without an answer.
  bool done_ = false;
  status outcome_ = success;
  loop_signal finished_;
};

/// Between a turn and the daemon in the name of a reservation that this daemon holds for the next one.
inline constexpr auto lease_sign = '+';

/// The daemon that holds a reservation for a next turn, by its name; empty for other reservations.
[[nodiscard]] inline auto holder_of_lease(const std::string& reservation) -> std::string {
  auto sign = reservation.rfind(lease_sign);
  return sign == std::string::npos ? std::string{} : reservation.substr(sign + 1);
}

/// A reservation that is durable already, for the next turn that comes here.
struct leased_reservation {
  std::string name_;
  std::int64_t tokens_ = 0;
  milliseconds usable_until_ = 0;  ///< On our clock.
};

/// What this daemon knows of a program.
struct program_store::entry {
  std::string name_;  ///< As it stands in keys.
  std::string part_;
  program_record record_;
  std::int64_t version_ = version_not_read;
  std::optional<milliseconds> record_at_;  ///< When the record was known to be the newest, on our clock.
  std::unordered_map<std::string, std::shared_ptr<const turn_record>> turns_;
  std::vector<leased_reservation> leased_;
  std::set<std::string> begun_;      ///< Reservations of turns that run through this daemon.
  std::int64_t drawn_ = 0;           ///< Tokens that this daemon drew and that no turn uses now.
  std::set<std::string> handed_to_;  ///< Daemons that got some of what was drawn here.
  std::deque<change_pointer> queue_;
  bool writing_ = false;
  int users_ = 0;
  milliseconds last_used_ = 0;
};

/// What a change does to a record.
enum class program_store::verdict { applied, done_before, over_budget, budget_leased, expired, unclear };

/// The transaction that makes the next changes of a program.
struct program_store::batch_plan {
  program_record record_;
  row_transaction transaction_;
  std::vector<std::pair<change_pointer, verdict>> changes_;
  bool writes_ = false;
  std::vector<leased_reservation> leased_;
  bool needs_fresh_ = false;  ///< A refusal would rest on a record that others may have changed.
  bool needs_turns_ = false;  ///< Only the turns' rows tell whether a change was made.
};

}  // namespace birchlever

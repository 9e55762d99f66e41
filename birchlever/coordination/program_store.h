/// Programs as all daemons share them: order of turns, budgets and histories, by compare-and-set on the
/// program's own rows. Any daemon serves any turn; there is no owner.
///
/// Programs are spread over a fixed number of parts by hash. A part's rows, all changed in one transaction:
///   programs:      PROGRAM!                  budget
///                  PROGRAM/TURN/PIECE        a turn's input and answer, in pieces
///   turn_programs: TURN                      the program of a turn, for callers that name only the turn
/// PROGRAM and TURN stand behind their client account's name, so that no account finds another's. Rows that
/// were written without an account belong to none: callers with an account do not find them.
/// A turn of unknown program is looked for in every part, which is rare: some programs go on from turns of
/// others of their account after a stop.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/coordination/budget_peers.h"
#include "birchlever/coordination/program_keys.h"
#include "birchlever/coordination/program_record.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// How programs are kept.
struct program_store_settings {
  std::string daemon_ = "daemon";  ///< Names this incarnation in the rows of programs whose budget it draws.
  double draw_ahead_ = 0.5;    ///< Share of what is left of a budget that is drawn at once, but for the most
                               ///< of one turn. More costs fewer calls and is lost with its daemon.
  double least_drawn_ = 0.25;  ///< Share of a turn's most with which it may begin while the store is away:
                               ///< most answers take less than a third of what they may.
  std::string table_ = "programs";
  std::string index_table_ = "turn_programs";
  int parts_ = 32;  ///< The same on every daemon and never changed. One part takes 150 writes/s; 1,200 are
                    ///< needed at most.
  std::size_t row_bytes_ = 48000;  ///< Longest piece of a turn in one row; the store takes 64 KiB of base64.
  std::size_t cache_bytes_ = 4'000'000;  ///< Histories kept in memory; others are read again from the store.
  milliseconds call_limit_ = 2500;       ///< ms for one call of the store, its repetitions included.
  milliseconds max_start_wait_ = 400;    ///< ms for which a new turn waits while the store answers nothing.
  milliseconds begin_limit_ =
      1800;  ///< ms for all of a turn's beginning: callers leave a stream that is silent for 2 s.
  milliseconds retry_after_ = 3000;  ///< ms after which a turn refused for want of the store may come back:
                                     ///< outages last seconds, and sooner tries only use up the caller's.
  milliseconds reservation_lease_ = 3000;  ///< ms for which a daemon may use a reservation that it holds for
                                           ///< the next turn: pauses and tools between turns take up to 2 s.
  milliseconds lease_view_ = 100;   ///< ms for which a record that was read tells who holds a reservation.
  milliseconds lease_margin_ = 50;  ///< ms that a reservation must be usable yet to be handed over.
  milliseconds max_turn_duration_ =
      8000;  ///< ms after the lease until another daemon takes the reservation back, or
             ///< later where turns may take longer: one that began under it has ended.
  milliseconds budget_view_ =
      400;  ///< ms for which a budget that was read holds for a refusal: less than half of
            ///< the second after which the platform counts what a turn really spent.
  std::size_t most_leased_ = 3;  ///< Leased reservations of one program kept here: its parallel lines.
  milliseconds cleanup_patience_ = 60000;  ///< ms for which a reservation that was not used is taken back.
};

/// A turn that wants to run.
struct turn_request {
  scoped_name program_;                 ///< Its account also owns the turns.
  std::string turn_;                    ///< Its request id, unique within the account.
  std::string previous_;                ///< The turn it goes on from; empty at a start.
  std::optional<std::int64_t> budget_;  ///< Tokens that all turns of the program may generate together.
  std::int64_t max_tokens_ = 0;         ///< The most that this turn generates.
  std::string input_;
  std::optional<milliseconds> max_wait_;  ///< ms for which it may wait for a store that is away; else as set.
  bool overdue_ = false;                  ///< Its program should have ended already: others go first.
};

/// A turn that may be sent now: its budget is reserved.
struct turn_grant {
  std::string reservation_;    ///< Names the reservation until the turn is settled or cancelled.
  std::string prompt_;         ///< History and new input, byte for byte.
  std::string last_upstream_;  ///< The engine that ran the previous turn, if any.
  std::string
      inherited_history_;  ///< Of a program's first turn that goes on from another program: all before its
                           ///< input. Kept with the turn, so that no program needs another one's rows.
};

/// How a turn ended.
struct turn_completion {
  scoped_name program_;
  std::string turn_;
  std::string reservation_;      ///< As granted.
  std::int64_t tokens_ = 0;      ///< Handed to the caller.
  std::int64_t max_tokens_ = 0;  ///< The most that it could generate; the next turn may need as much.
  std::optional<std::int64_t> budget_;
  milliseconds max_next_duration_ = 0;  ///< ms that the program's next turn may take.
  std::optional<turn_record> record_;   ///< Only of an answer that came whole.
};

/// For coroutines of one loop. Changes of one program that wait at the same time share one transaction.
class program_store : public std::enable_shared_from_this<program_store> {
 public:
  /// A store of programs over rows.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const program_store_settings& settings) -> result<std::shared_ptr<program_store>>;

  /// Reads the history and reserves the budget. Failures: budget_exhausted, unknown_turn (both sure: the
  /// store was read after the request came), store_unavailable, malformed_json.
  auto begin_turn(turn_request order, milliseconds time_left) -> task<result<turn_grant>>;

  /// Settles what a turn spent and, when its answer is whole, keeps it. Returns when the store has it: only
  /// then may the answer's end go out. Failures: store_unavailable; the change is tried on in the background.
  auto end_turn(turn_completion ended, milliseconds time_left) -> task<status>;

  /// Gives back the reservation of a turn that surely did not run, in the background.
  auto cancel_turn(const scoped_name& program, const std::string& reservation) -> void;

  /// Takes the most that a turn can generate out of the program's budget, for a turn of which nothing is
  /// kept: from what was drawn before, from daemons that drew some, or from the store. What is drawn counts
  /// as spent in the store before it is used, so no loss of daemons overspends. While the store is away, or
  /// drawn tokens are lost, a program may go one turn's most beyond its budget, once; then the tokens yielded
  /// may be fewer than the turn's most, and bound what may be handed out. Failures: budget_exhausted,
  /// store_unavailable (also while other daemons hold the rest), malformed_json.
  auto draw_budget(turn_request order, milliseconds time_left) -> task<result<std::int64_t>>;

  /// Gives back what a turn left of its draw, for turns to come. Costs no call of the store.
  auto return_tokens(const scoped_name& program, std::int64_t tokens) -> void;

  /// Hands drawn tokens to another daemon: as many as it asks for, or half of them when that is more, since
  /// its next turns need some too. What is handed over is no more ours, also when the answer is lost.
  auto transfer_tokens(const std::string& program_key, const std::string& to, std::int64_t tokens)
      -> transferred_tokens;

  /// Gives a reservation that is held here for a program's next turn to the daemon where that turn came.
  /// False when it is not held, or not for long enough.
  auto transfer_lease(const std::string& program_key, const std::string& reservation) -> bool;

  /// Where tokens are asked for that other daemons drew. Without peers only the store is asked.
  auto set_budget_peers(std::shared_ptr<budget_peers> peers) -> void { budget_peers_ = std::move(peers); }

  /// Bytes of histories in memory.
  [[nodiscard]] auto cached_bytes() const -> std::size_t { return cached_bytes_; }

 private:
  struct change;
  struct entry;
  struct batch_plan;
  enum class verdict;
  using change_pointer = std::shared_ptr<change>;
  using entry_pointer = std::shared_ptr<entry>;

  program_store(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                const program_store_settings& settings);

  using record_pointer = std::shared_ptr<const turn_record>;

  /// A chain of turns, newest first.
  struct chain {
    std::vector<record_pointer> turns_;
    std::string first_program_;  ///< Of the newest turn.
  };

  // program_store.cpp: what callers ask for.
  auto entry_of(const scoped_name& program) -> entry_pointer;
  auto entry_named(const std::string& name) -> entry_pointer;
  auto collect_patiently(scoped_name program, std::string newest, milliseconds patient_until,
                         milliseconds due) -> task<result<chain>>;
  auto take_leased(entry& program, const turn_request& order) -> std::optional<std::string>;
  /// Asks the daemon that holds a reservation for it, as the program's record tells.
  auto take_leased_elsewhere(entry_pointer program, std::int64_t tokens) -> task<std::optional<std::string>>;
  auto reserve(entry_pointer program, const turn_request& order, milliseconds time_left) -> task<status>;
  auto queue(const entry_pointer& program, change_pointer wanted) -> void;
  auto wait_for(change_pointer wanted, milliseconds time_left) -> task<status>;
  auto shrink() -> void;
  [[nodiscard]] auto store_away(const std::string& detail) const -> error;

  // program_store_draw.cpp: budgets drawn in advance.
  auto draw_for(entry_pointer program, const turn_request& order, milliseconds time_left)
      -> task<result<std::int64_t>>;
  auto draw_without_store(entry_pointer program, const turn_request& order, error reason)
      -> task<result<std::int64_t>>;
  auto draw_from_store(entry_pointer program, const turn_request& order, milliseconds time_left)
      -> task<status>;
  [[nodiscard]] auto least_of(std::int64_t most) const -> std::int64_t;
  auto add_allowance(entry_pointer program, std::int64_t tokens) -> task<>;
  auto collect_from_peers(entry_pointer program, std::int64_t tokens) -> task<bool>;
  auto ask_peers(entry_pointer program, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens>;
  static auto take_drawn(entry& program, std::int64_t tokens, std::int64_t least)
      -> std::optional<std::int64_t>;
  auto apply_draw(const entry& program, const change& wanted, program_record& record) const -> verdict;
  auto conclude_draw(entry& program, const change& wanted, verdict what, const program_record& record) const
      -> void;

  // program_store_read.cpp: rows into memory.
  auto load(entry_pointer program, bool with_turns, milliseconds time_left) -> task<status>;
  auto take_rows(entry& program, const std::vector<stored_row>& rows) -> status;
  auto remember(entry& program, const std::string& turn, record_pointer record) -> void;
  [[nodiscard]] auto cached(const std::string& turn) const -> record_pointer;
  auto collect(scoped_name program, std::string newest, milliseconds time_left) -> task<result<chain>>;
  auto fetch(std::string program, std::string turn, milliseconds time_left) -> task<result<record_pointer>>;
  auto find_program(std::string turn, milliseconds time_left) -> task<result<std::optional<std::string>>>;

  // program_store_write.cpp: changes into rows.
  auto write_changes(entry_pointer program) -> task<>;
  auto write_batch(entry_pointer program) -> task<status>;
  /// Waits as long as so many conflicts in a row ask for. False when that was not at all.
  auto pause_after_conflict(std::string name, int conflicts, milliseconds took) -> task<bool>;
  auto apply(const entry& program, const change& wanted, program_record& record) const -> verdict;
  auto apply_reserve(const entry& program, const change& wanted, program_record& record) const -> verdict;
  [[nodiscard]] auto refusal_of(const entry& program, const change& wanted,
                                const program_record& record) const -> std::optional<verdict>;
  static auto apply_settle(const entry& program, const change& wanted, program_record& record) -> verdict;
  auto lease_next(entry& program, const change& settled, batch_plan& planned) const -> void;
  [[nodiscard]] auto store_now() const -> milliseconds { return clock_.now() + store_clock_ahead_; }
  auto note_store_clock(milliseconds store_now, milliseconds asked_at) -> void;
  auto plan(entry& program, bool fresh) -> batch_plan;
  auto conclude(entry& program, const batch_plan& planned) -> void;
  auto add_turn_rows(const entry& program, const change& wanted, row_transaction& transaction) const -> void;
  auto drop_overdue(entry& program, const error& reason) -> void;
  static auto finish(const change_pointer& wanted, status outcome) -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  program_store_settings settings_;
  steady_clock clock_;
  std::unordered_map<std::string, entry_pointer> entries_;
  std::unordered_map<std::string, std::string> homes_;  ///< The program of each turn in memory.
  std::shared_ptr<budget_peers> budget_peers_;
  std::int64_t draws_ = 0;   ///< Made here so far; names them.
  std::minstd_rand random_;  ///< For jitter.
  std::size_t cached_bytes_ = 0;
  milliseconds store_clock_ahead_ = 0;  ///< The store's clock less ours, at most so much too little as below.
  milliseconds store_clock_error_ = 0;  ///< How long the call took that told.
  bool store_clock_known_ = false;
};

}  // namespace birchlever

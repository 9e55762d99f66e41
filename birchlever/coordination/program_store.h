/// Programs shared by all daemons: order of turns, budgets and histories, changed by compare-and-set on the
/// program's own rows. Any daemon can serve any turn; programs have no owner.
///
/// Programs are hashed into a fixed number of partitions. All rows of a program are in one partition and can
/// be changed in one transaction:
///   programs:      PROGRAM!                  budget
///                  PROGRAM/TURN/PIECE        a turn's input and output, in pieces
///   turn_programs: TURN                      the program of a turn, for callers that specify only the turn
///                  !PROGRAM                  the program itself, from its first reservation on
/// PROGRAM and TURN are prefixed with their client account's name, so that no account can access another's.
/// Rows written without an account belong to none: callers with an account cannot find them. A turn whose
/// program is unknown is searched in all partitions; this is needed only if a program continues a turn of
/// another program of its account.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/coordination/budget_peers.h"
#include "birchlever/coordination/history_estimate.h"
#include "birchlever/coordination/lease_book.h"
#include "birchlever/coordination/program_keys.h"
#include "birchlever/coordination/program_record.h"
#include "birchlever/coordination/program_store_settings.h"
#include "birchlever/coordination/spent_programs.h"
#include "birchlever/core/clock.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

struct leased_reservation;

/// Counts decisions on budgets since the start of the daemon. Those before the leases are 0 unless
/// spent_memory_ is set.
struct budget_statistics {
  std::int64_t refused_from_memory_ = 0;   ///< Turns refused without a store call.
  std::int64_t reports_confirmed_ = 0;     ///< Store reads that confirmed a spent program.
  std::int64_t reports_refuted_ = 0;       ///< Store reads that contradicted a report.
  std::int64_t shared_leases_ = 0;         ///< Leases taken over by turns for which no budget was left.
  std::int64_t waits_ = 0;                 ///< Turns that waited for a running turn of their program.
  std::int64_t waits_served_ = 0;          ///< Of these, turns that got a reservation.
  std::int64_t leases_not_witnessed_ = 0;  ///< Leases not used since their witness did not record the use.
  std::int64_t leases_found_unused_ = 0;   ///< Leases of other daemons that were found to be unused.
  std::int64_t leases_unresolved_ = 0;     ///< Inquiries about leases that may be in use.
  std::int64_t leases_unaccounted_ = 0;    ///< Leases of which nobody knew any more whether they were used.
  std::int64_t overdrafts_ = 0;            ///< Reservations beyond a budget, by an unaccounted lease.
};

/// A request to start a turn.
struct turn_request {
  scoped_name program_;                 ///< Its account also owns the turns.
  std::string turn_;                    ///< The request id; unique within the account.
  std::string previous_;                ///< The turn it continues; empty at the start of a program.
  std::optional<std::int64_t> budget_;  ///< Total tokens that the turns of the program may generate.
  std::int64_t max_tokens_ = 0;         ///< Token limit of the turn.
  std::string input_;
  std::optional<milliseconds>
      max_wait_;          ///< Maximum wait in a store outage, in ms; max_start_wait_ if empty.
  bool overdue_ = false;  ///< The program should have ended already; its writes rank last.
};

/// A turn that may be sent: its budget is reserved.
struct turn_grant {
  std::string reservation_;    ///< Identifies the reservation until the turn is settled or cancelled.
  std::string prompt_;         ///< History and new input, unmodified.
  std::string last_upstream_;  ///< The engine that ran the previous turn, if any.
  std::string
      inherited_history_;  ///< History before the input of a turn that continues another program. Stored with
                           ///< the turn, so that no program depends on rows of another one.
};

/// Result of a turn.
struct turn_completion {
  scoped_name program_;
  std::string turn_;
  std::string reservation_;      ///< As granted.
  std::int64_t tokens_ = 0;      ///< Tokens delivered to the caller.
  std::int64_t max_tokens_ = 0;  ///< Token limit of the turn; reserved for the next turn.
  std::optional<std::int64_t> budget_;
  milliseconds max_next_duration_ = 0;  ///< Maximum duration of the program's next turn, in ms.
  std::optional<turn_record> record_;   ///< Set only if the response was complete.
};

/// Starts, settles and stores turns. Not thread safe: use from the coroutines of one event loop. Pending
/// changes of one program are batched into one transaction.
class program_store : public std::enable_shared_from_this<program_store> {
 public:
  /// Creates a program store. Failures: invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const program_store_settings& settings) -> result<std::shared_ptr<program_store>>;

  /// Reads the history and reserves the budget. Failures: budget_exhausted, unknown_turn (both definite: the
  /// store was read after the request arrived), store_unavailable, malformed_json.
  auto begin_turn(turn_request order, milliseconds time_left) -> task<result<turn_grant>>;

  /// Settles the tokens a turn spent and stores its record, if set. Returns when the change is durable; the
  /// end of the response must not be sent before. Failures: store_unavailable; the change is retried in the
  /// background.
  auto end_turn(turn_completion ended, milliseconds time_left) -> task<status>;

  /// Releases the reservation of a turn that certainly did not run, in the background.
  auto cancel_turn(const scoped_name& program, const std::string& reservation) -> void;

  /// Draws tokens for a turn whose history is not stored: from tokens drawn earlier, from other daemons, or
  /// from the store. Drawn tokens count as spent in the store before they are used, so lost daemons cannot
  /// cause overspending. If the store is unreachable or drawn tokens were lost, a program may exceed its
  /// budget once by one turn's token limit. Returns the tokens that the turn may generate; in a store outage
  /// they may be fewer than its token limit. Failures: budget_exhausted, store_unavailable (also while other
  /// daemons hold the rest), malformed_json.
  auto draw_budget(turn_request order, milliseconds time_left) -> task<result<std::int64_t>>;

  /// Returns the unused tokens of a turn's draw for later turns on this daemon. Makes no store call.
  auto return_tokens(const scoped_name& program, std::int64_t tokens) -> void;

  /// Transfers drawn tokens to another daemon: as many as requested, or half of the drawn tokens if that is
  /// more. The tokens are gone from this daemon even if the response is lost.
  auto transfer_tokens(const std::string& program_key, const std::string& to, std::int64_t tokens)
      -> transferred_tokens;

  /// Transfers a leased reservation to the daemon at which the program's next turn arrived. Returns false if
  /// it is not held here or about to expire. The reservation is gone from this daemon even if the response is
  /// lost.
  auto transfer_lease(const std::string& program_key, const std::string& reservation,
                      const std::string& recipient = {}) -> bool;

  /// Tells another daemon whether a turn runs here under a lease that this daemon holds or received. If not,
  /// none will; remembered for `keep_for` ms.
  auto answer_inquiry(const std::string& program_key, const std::string& lease, milliseconds keep_for)
      -> lease_answer;

  /// As witness, records the use of a lease. Returns false if it was revoked.
  auto witness_use(const std::string& lease, milliseconds keep_for) -> bool;

  /// As witness, revokes a lease unless its use is recorded.
  auto revoke(const std::string& lease, milliseconds keep_for) -> lease_answer;

  /// Releases the reservations leased for next turns and leases no more, before the daemon stops.
  auto release_leases() -> void;

  /// Sets the peers from which tokens and leases are requested. Without peers only the store is used.
  auto set_budget_peers(std::shared_ptr<budget_peers> peers) -> void { budget_peers_ = std::move(peers); }

  /// Returns the spent programs to report in the next message to peers.
  auto next_spent_reports() -> std::vector<spent_report> { return spent_.next_reports(clock_.now()); }

  /// Records spent programs that peers reported. Ignored unless spent_memory_ is set.
  auto record_spent_reports(const std::vector<spent_report>& reports) -> void;

  /// Returns the counts of decisions on budgets.
  [[nodiscard]] auto statistics() const -> const budget_statistics& { return statistics_; }

  /// Returns the number of leases whose use is remembered.
  [[nodiscard]] auto remembered_leases() const -> std::size_t { return leases_.size(); }

  /// Returns the size in bytes of the history that ends with a turn: the actual one if it is cached, else an
  /// estimate.
  [[nodiscard]] auto expected_history(const scoped_name& turn) const -> std::size_t;

  /// Returns the size of the cached histories in bytes.
  [[nodiscard]] auto cached_bytes() const -> std::size_t { return cached_bytes_; }

 private:
  struct change;
  struct entry;
  struct batch_plan;
  struct reserve_outcome;

  /// Times on the local clock that limit the start of a turn.
  struct turn_limits {
    milliseconds wait_until_ = 0;  ///< End of the turn's wait for an unavailable store or budget.
    milliseconds due_ = 0;         ///< Time by which the turn must have started.
    milliseconds caller_due_ = 0;  ///< End of the caller's timeout; limits Retry-After.
  };

  enum class change_result;
  using change_pointer = std::shared_ptr<change>;
  using entry_pointer = std::shared_ptr<entry>;

  program_store(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                const program_store_settings& settings);

  using record_pointer = std::shared_ptr<const turn_record>;

  /// A chain of turns, newest first.
  struct chain {
    std::vector<record_pointer> turns_;
    std::string newest_program_;  ///< Of the newest turn.
  };

  // program_store.cpp: requests of callers.
  auto entry_of(const scoped_name& program) -> entry_pointer;
  auto entry_named(const std::string& name) -> entry_pointer;
  auto collect_with_retry(scoped_name program, std::string newest, milliseconds wait_until, milliseconds due,
                          milliseconds caller_due) -> task<result<chain>>;
  /// Waits for the store until `wait_until`, or until it is not expected to be reachable by then.
  auto wait_for_store(milliseconds wait_until, milliseconds caller_due) -> task<status>;
  auto outage_error(milliseconds expected_left, milliseconds caller_due) -> error;
  auto reserve(entry_pointer program, const turn_request& order, const turn_limits& limits,
               milliseconds max_wait) -> task<reserve_outcome>;
  /// Waits for a reservation for up to `time_left` ms, or until the store is not expected back in time for
  /// it.
  auto wait_for_reserve(change_pointer pending, milliseconds time_left, milliseconds caller_due)
      -> task<status>;
  auto queue(const entry_pointer& program, change_pointer pending) -> void;
  auto wait_for(change_pointer pending, milliseconds time_left) -> task<status>;
  auto evict() -> void;
  [[nodiscard]] auto unavailable_error(const std::string& detail) const -> error;

  // program_store_lease.cpp and program_store_inquiry.cpp: uses of leased reservations, and what became of
  // those of other daemons.
  /// Takes a lease of this daemon that is large enough, if there is one.
  auto acquire_local_lease(entry& program, const turn_request& order) -> std::optional<leased_reservation>;
  auto start_under_local_lease(entry_pointer program, const turn_request& order)
      -> task<std::optional<std::string>>;
  /// Records the start of a turn with the lease's witness. Returns false if no turn may start under the
  /// lease, now or later.
  auto start_under_lease(entry_pointer program, const turn_request& order, std::string lease,
                         reservation held) -> task<bool>;
  /// Asks about leases of other daemons, and only about expired ones if `only_expired`. Counts in `resolved_`
  /// those that are found to be unused, or count as spent from now on.
  auto inquire_leases(entry_pointer program, bool only_expired) -> task<>;
  /// Asks about one lease and records what is known about it from now on.
  auto inquire(entry_pointer program, std::string name, reservation held) -> task<>;
  auto inquire_lease(entry_pointer program, std::string lease, reservation held) -> task<lease_state>;
  /// Asks the daemons that may use the lease. The answer names the daemon that it was transferred to.
  auto ask_users(std::string program, std::string lease, milliseconds keep) -> task<lease_answer>;
  /// Asks a witness to revoke the lease.
  auto ask_witness(std::string lease, std::string witness, milliseconds keep) -> task<lease_state>;
  /// Asks about expired leases in the background, while their use is still remembered.
  auto start_inquiry(const entry_pointer& program) -> void;
  /// Asks another daemon in the background to give up the lease that was made for a turn which started here
  /// without it, so that the program's next lease can be made here.
  auto retire_bypassed_lease(const entry_pointer& program, const turn_request& order) -> void;
  [[nodiscard]] auto needs_inquiry(const entry& program, const std::string& lease, const reservation& held,
                                   bool only_expired) const -> bool;
  /// Returns true if other daemons may know whether the lease is in use.
  [[nodiscard]] auto can_inquire(const std::string& lease, const reservation& held) const -> bool;
  [[nodiscard]] auto is_expired(const reservation& held) const -> bool;
  /// Returns for how many ms the use of a lease must be remembered.
  [[nodiscard]] auto keep_for(milliseconds expires_at) const -> milliseconds;
  [[nodiscard]] auto longest_next_turn(const change& settled) const -> milliseconds;
  /// Returns true if a reservation counts as spent: its turn did not end in time, or it is a lease under
  /// which a turn may have run, but none runs now.
  [[nodiscard]] auto is_lost(const entry& program, const std::string& name, const reservation& held) const
      -> bool;
  [[nodiscard]] auto lost_tokens(const entry& program, const program_record& record) const -> std::int64_t;
  /// Returns true for a lost lease of which nobody knows any more whether a turn ran under it.
  [[nodiscard]] auto is_unaccounted(const entry& program, const std::string& name,
                                    const reservation& held) const -> bool;
  /// Returns the tokens by which a program's commitments may exceed its budget: those of one unaccounted
  /// lease, since its program is owed them unless a turn used them.
  [[nodiscard]] auto overdraft(const entry& program, const program_record& record) const -> std::int64_t;
  [[nodiscard]] auto has_open_leases(const entry& program, const program_record& record) const -> bool;
  /// Releases a reservation in the background.
  auto release(const entry_pointer& program, const std::string& name) -> void;
  /// Releases retired leases that the record still has: their witnesses may know of a use that did not begin.
  auto release_retired(const entry_pointer& program) -> void;
  /// Removes the leases under which no turn starts, now or later.
  auto drop_unused_leases(const entry& program, program_record& record) const -> void;
  /// Turns leases that are known to be in use into reservations of started turns, whose use the row shows.
  auto record_used_leases(const entry& program, program_record& record) const -> void;
  /// Takes over the lease of a settlement whose response was lost.
  auto adopt_lease(const entry& program, const change& settled, batch_plan& planned) const -> void;

  // program_store_share.cpp: budgets that concurrent turns share, and programs known to be spent.
  auto acquire_reservation(entry_pointer program, const turn_request& order, const turn_limits& limits)
      -> task<result<std::string>>;
  /// Requests leased reservations from the daemons that hold them according to the program's record, which
  /// must not be older than `max_age` ms. At most `max_requests` are requested per turn, none of them twice.
  auto acquire_remote_lease(entry_pointer program, const turn_request& order, milliseconds max_age,
                            std::size_t max_requests, std::set<std::string>& requested)
      -> task<std::optional<std::string>>;
  [[nodiscard]] auto find_remote_leases(const entry& program, std::int64_t tokens) const
      -> std::vector<std::pair<std::string, reservation>>;
  /// Waits for a running turn of the program to release its reservation. `resolved` is the program's number
  /// of resolved leases before its budget was found to be reserved.
  auto share_budget(entry_pointer program, const turn_request& order, const turn_limits& limits,
                    std::set<std::string>& requested, int resolved) -> task<result<std::string>>;
  [[nodiscard]] auto budget_reserved_error() const -> error;
  /// Returns the smoothed duration of a turn on this daemon in ms, limited to the usual Retry-After.
  [[nodiscard]] auto expected_turn_duration() const -> milliseconds;
  auto record_turn_duration(milliseconds duration) -> void;
  auto refuse_if_spent(const turn_request& order, milliseconds time_left) -> task<std::optional<error>>;
  auto confirm_spent(entry_pointer program, const turn_request& order, milliseconds time_left) -> task<>;
  auto remember_if_spent(const entry& program, const change& pending, const program_record& record) -> void;

  // program_store_draw.cpp: budgets drawn in advance.
  auto draw_for(entry_pointer program, const turn_request& order, milliseconds time_left)
      -> task<result<std::int64_t>>;
  auto draw_without_store(entry_pointer program, const turn_request& order, error reason)
      -> task<result<std::int64_t>>;
  auto draw_from_store(entry_pointer program, const turn_request& order, milliseconds time_left)
      -> task<status>;
  [[nodiscard]] auto min_draw_of(std::int64_t max_tokens) const -> std::int64_t;
  auto add_allowance(entry_pointer program, std::int64_t tokens) -> task<>;
  auto collect_from_peers(entry_pointer program, std::int64_t tokens) -> task<bool>;
  auto request_from_peers(entry_pointer program, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens>;
  static auto consume_drawn(entry& program, std::int64_t tokens, std::int64_t minimum)
      -> std::optional<std::int64_t>;
  auto apply_draw(const entry& program, const change& pending, program_record& record) const -> change_result;
  auto complete_draw(entry& program, const change& pending, change_result what,
                     const program_record& record) const -> void;

  // program_store_read.cpp: reads of rows.
  auto load(entry_pointer program, bool with_turns, milliseconds time_left) -> task<status>;
  auto apply_rows(entry& program, const std::vector<stored_row>& rows) -> status;
  auto cache_turn(entry& program, const std::string& turn, record_pointer record) -> void;
  [[nodiscard]] auto cached(const std::string& turn) const -> record_pointer;
  auto collect(scoped_name program, std::string newest, milliseconds time_left) -> task<result<chain>>;
  auto fetch(std::string program, std::string turn, milliseconds time_left) -> task<result<record_pointer>>;
  auto find_program(std::string turn, milliseconds time_left) -> task<result<std::optional<std::string>>>;

  // program_store_plan.cpp and program_store_write.cpp: writes of changes.
  auto write_changes(entry_pointer program) -> task<>;
  auto write_batch(entry_pointer program) -> task<status>;
  /// Waits for the backoff after a number of consecutive conflicts. Returns false if there was none.
  auto back_off_after_conflict(std::string name, int conflicts, milliseconds latency) -> task<bool>;
  auto apply(const entry& program, const change& pending, program_record& record) const -> change_result;
  auto apply_reserve(const entry& program, const change& pending, program_record& record) const
      -> change_result;
  [[nodiscard]] auto check_budget(const entry& program, const change& pending,
                                  const program_record& record) const -> std::optional<change_result>;
  static auto apply_settle(const entry& program, const change& pending, program_record& record)
      -> change_result;
  auto lease_next_turn(entry& program, const change& settled, batch_plan& planned) -> void;
  /// Drops unused leases of this daemon that have another size than the program's turns have now.
  auto drop_other_leases(entry& program, const change& settled, program_record& record) -> void;
  [[nodiscard]] auto store_now() const -> milliseconds { return clock_.now() + store_clock_offset_; }
  auto record_store_clock(milliseconds store_now, milliseconds requested_at) -> void;
  auto plan(entry& program, bool is_current) -> batch_plan;
  auto complete_batch(entry& program, const batch_plan& planned) -> void;
  auto log_exhausted(const entry& program, const change& pending) const -> void;
  /// Logs a reservation that was made although it exceeds the budget.
  auto log_overdraft(const entry& program, const change& pending, const program_record& record) -> void;
  [[nodiscard]] auto turn_rows(const entry& program, const change& pending) const -> std::vector<stored_row>;
  /// Returns true if a transaction that has these rows, too, is within the store's limits.
  [[nodiscard]] auto fits(const batch_plan& planned, const std::vector<stored_row>& rows) const -> bool;
  auto add_turn_rows(const entry& program, const change& pending, std::vector<stored_row> rows,
                     batch_plan& planned) const -> void;
  /// Stores all pieces of a turn but the first one. Failures: those of row_store_interface::commit.
  auto stage_turn(entry_pointer program, change_pointer pending) -> task<status>;
  /// Handles a rejected transaction: its changes are written one by one from now on. One that was rejected by
  /// itself fails; of a turn, the tokens are still settled.
  auto separate_rejected(entry& program, const std::vector<change_pointer>& rejected, const error& reason)
      -> void;
  auto expire_changes(entry& program, const error& reason) -> void;
  /// Waits until the store is reachable or no changes are left. Sends nothing.
  auto wait_out_outage(entry_pointer program, error reason) -> task<>;
  /// Resets `sent_` of changes whose transaction was certainly not applied.
  static auto restore_sent(const batch_plan& planned, const std::vector<bool>& sent_before) -> void;
  static auto complete_change(const change_pointer& pending, status outcome) -> void;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  program_store_settings settings_;
  steady_clock clock_;
  std::unordered_map<std::string, entry_pointer> entries_;
  std::unordered_map<std::string, std::string> turn_programs_;  ///< Program by cached turn.
  std::shared_ptr<budget_peers> budget_peers_;
  std::int64_t draws_ = 0;   ///< Number of draws made; part of their names.
  std::minstd_rand random_;  ///< For jitter.
  std::size_t cached_bytes_ = 0;
  history_estimate history_bytes_;
  spent_programs spent_;
  lease_book leases_;
  bool leasing_ = true;  ///< False once the daemon stops.
  budget_statistics statistics_;
  std::optional<double> smoothed_turn_ms_;  ///< Smoothed duration of the turns on this daemon.
  milliseconds store_clock_offset_ = 0;     ///< Lower bound of the store's clock minus the local clock.
  milliseconds store_clock_error_ =
      0;  ///< Maximum error of the offset: duration of the call that measured it.
  bool store_clock_known_ = false;
};

}  // namespace birchlever

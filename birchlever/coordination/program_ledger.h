/// The sequencer of one shard: order, budget, at-most-once and history of its programs.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "birchlever/coordination/journal.h"
#include "birchlever/coordination/journal_record.h"
#include "birchlever/coordination/program.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Limits the ledger enforces. Times in milliseconds, sizes in tokens.
struct ledger_settings {
  std::int64_t budget_slice_ = 2048;       ///< Reserved ahead of what is needed, at most.
  std::int64_t slices_per_budget_ = 16;    ///< A slice is at most this part of a program's budget.
  std::int64_t default_budget_ = 200000;   ///< For programs that name none.
  std::int64_t default_max_tokens_ = 512;  ///< For calls that name none.
  int turn_limit_ = 128;                   ///< Calls a program may make.
  int loop_limit_ = 8;                     ///< Times the same request may come in one program.
  milliseconds idle_limit_ = 600000;       ///< After this long without a call a program ends.
  milliseconds ended_retention_ = 600000;  ///< How long an ended program still answers duplicates.
  milliseconds call_limit_ = 120000;       ///< Longest time one attempt may take.
  milliseconds report_margin_ =
      5000;  ///< From an attempt's deadline until its report is not waited for any more:
             ///< its entry reports at once, within some looks for a new owner.
};

/// A call as its caller asked for it.
struct call_request {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 1;
  std::int32_t parent_ = 0;
  std::int64_t budget_ = 0;      ///< Zero when the caller named none.
  std::int64_t max_tokens_ = 0;  ///< Zero when the caller named none.
  std::int64_t prompt_tokens_ = 0;
  std::uint64_t digest_ = 0;
  std::string request_id_;  ///< Names the entry's question; a ticket that never arrived is voided by it.
  bool repeatable_ = true;
  bool generates_ = true;  ///< False for plain services, which spend no tokens.
  bool ephemeral_ = false;
  milliseconds deadline_ = 0;  ///< How long the caller waits, from now.
};

/// The call may go ahead once the records are durable and an upstream is chosen.
struct open_proceed {
  std::vector<journal_record> records_;
  bool must_commit_ = false;
};

/// The call has its answer already.
struct open_replay {
  std::string answer_;
  answer_location location_;
};

/// The call must wait for the call before it, or for its own answer.
struct open_wait {
  bool for_own_answer_ = false;
};

/// Not repeatable, and it may have run: only the upstream can tell.
struct open_resolve {
  std::string upstream_;
  std::string key_;
};

/// What becomes of a call that asks to be opened.
using open_decision = std::variant<open_proceed, open_replay, open_wait, open_resolve, error>;

/// How an attempt ended.
enum class call_outcome { answered, not_run, failed };

/// The report about an attempt.
struct call_settlement {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 0;
  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;
  call_outcome outcome_ = call_outcome::answered;
  std::int64_t tokens_ = 0;
  std::int64_t max_tokens_ = 0;
  std::uint64_t digest_ = 0;
  bool repeatable_ = true;
  std::string answer_;
  std::string upstream_;
  bool ephemeral_ = false;  ///< Of a call without a program; nothing of it is durable.
  std::string request_id_;  ///< With fencing number 0 and not_run: the ticket of this request never arrived.
};

/// The permission to send one attempt.
struct call_ticket {
  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;  ///< Fencing number: rises with every dispatch, across epochs.
  std::int64_t max_tokens_ = 0;
  std::string key_;
};

/// What follows from a report: records that must be durable before the caller hears of it, and the answer
/// that stands when another attempt was first.
struct settle_decision {
  std::vector<journal_record> records_;
  std::optional<open_replay> replay_;
  bool answered_ = false;
};

/// A deterministic state machine: everything it does follows from its inputs and the times given to it.
/// Durable state changes only through apply(), in journal order; the rest dies with the process.
class program_ledger {
 public:
  /// Checks the settings and makes an empty ledger for an epoch.
  static auto create(const ledger_settings& settings, std::int64_t epoch) -> result<program_ledger>;

  /// Takes in a snapshot and the records after it, and holds what earlier epochs left unsettled.
  auto recover(const journal_recovery& found, milliseconds now) -> status;

  /// Decides about a call. With open_proceed the call's cost is promised until dispatch, cancel or settle.
  auto open(const call_request& order, const std::string& policy, milliseconds now) -> open_decision;

  /// Opens a program before its first call. Failures: call_mismatch when it exists with another budget.
  auto create_empty(const std::string& account, const std::string& program, std::int64_t budget,
                    const std::string& policy, milliseconds now) -> result<std::vector<journal_record>>;

  /// Sends an opened call on its way. The record, if any, must be durable before the ticket is used.
  auto dispatch(const call_request& order, const std::string& upstream, milliseconds now)
      -> std::pair<call_ticket, std::optional<journal_record>>;

  /// Takes back an opened or dispatched call that was certainly not sent. The records must become durable.
  auto cancel(const std::string& account, const std::string& program, std::int32_t number)
      -> std::vector<journal_record>;

  /// The upstream confirmed a call.
  auto mark_accepted(const std::string& account, const std::string& program, std::int32_t number,
                     std::int64_t sequence) -> bool;

  /// A call that an earlier epoch dispatched is still under way. Its cost is held since the takeover.
  /// False when this epoch knows better.
  auto adopt(const call_settlement& under_way, milliseconds now) -> bool;

  /// Gives an attempt up whose upstream no longer works on it. The records must become durable.
  auto abandon(const std::string& account, const std::string& program, std::int32_t number)
      -> std::vector<journal_record>;

  /// Takes in the report about an attempt. Failures: unknown_program, call_mismatch.
  auto settle(const call_settlement& report, milliseconds now) -> result<settle_decision>;

  /// Ends a program. Empty when it is not known or has ended.
  auto end(const std::string& account, const std::string& program, const std::string& reason)
      -> std::vector<journal_record>;

  /// Makes durable facts part of the state.
  auto apply(const journal_record& record, milliseconds now) -> void;

  /// Records for attempts and programs whose time is over.
  auto expire(milliseconds now) -> std::vector<journal_record>;

  /// Forgets programs that ended long ago.
  auto evict_ended(milliseconds now) -> void;

  /// The durable state after the row with the given number. Nothing changes until complete_snapshot.
  auto prepare_snapshot(int shard, std::int64_t sequence) -> journal_snapshot;

  /// The snapshot is durable: moved answers leave memory.
  auto complete_snapshot(const journal_snapshot& snapshot) -> void;

  /// Finds a program.
  [[nodiscard]] auto find(const std::string& account, const std::string& id) const -> const program*;

  /// Finds a program to note down what policies look at.
  [[nodiscard]] auto find(const std::string& account, const std::string& id) -> program*;

  /// Visits every program.
  auto for_each(const std::function<void(const program&)>& visit) const -> void;

  /// Number of programs known.
  [[nodiscard]] auto size() const -> std::size_t { return programs_.size(); }

 private:
  /// Fencing numbers begin with their epoch, so that they rise across epochs.
  static constexpr int epoch_shift = 32;

  /// An attempt whose cost this epoch has promised.
  struct attempt {
    std::string program_key_;
    std::int32_t number_ = 0;
    std::int64_t cost_ = 0;
    milliseconds expires_at_ = 0;
    bool settling_ = false;
  };

  program_ledger(const ledger_settings& settings, std::int64_t epoch) : settings_{settings}, epoch_{epoch} {}

  static auto key_of(const std::string& account, const std::string& program) -> std::string;
  [[nodiscard]] auto opened_record(const program& owner, std::int64_t reserved) const -> journal_record;
  auto create_program(const call_request& order, const std::string& policy, milliseconds now) -> program&;
  auto open_again(program& owner, program_call& call, const call_request& order, milliseconds now)
      -> open_decision;
  auto open_next(program& owner, const call_request& order, milliseconds now) -> open_decision;
  auto begin(program& owner, const call_request& order, milliseconds now) -> open_decision;
  [[nodiscard]] auto limits(const program& owner, const call_request& order) const -> std::optional<error>;
  [[nodiscard]] auto cost_of(const program& owner, const call_request& order) const -> std::int64_t;
  [[nodiscard]] auto slice_of(const program& owner) const -> std::int64_t;
  auto void_unused_ticket(program& owner, const call_settlement& report) -> std::vector<journal_record>;
  auto charge_of(const call_settlement& report) -> std::int64_t;
  auto charged_record(const program& owner, const call_settlement& report, std::int64_t charge) const
      -> journal_record;
  auto apply_opened(const journal_record& record, milliseconds now) -> void;
  auto apply_intended(program& owner, const journal_record& record) -> void;
  auto apply_answered(program& owner, const journal_record& record, milliseconds now) -> void;
  auto apply_charged(program& owner, const journal_record& record) -> void;
  auto settle_budget(program& owner, const journal_record& record) -> void;
  auto load_snapshot(const std::string& text, milliseconds now) -> status;

  ledger_settings settings_;
  std::int64_t epoch_ = 0;
  std::int64_t dispatches_ = 0;
  bool recovering_ = false;
  std::map<std::string, program> programs_;
  std::map<std::int64_t, attempt> attempts_;      ///< By fencing number.
  std::map<std::string, std::int64_t> segments_;  ///< Live answers per segment object.
};

}  // namespace birchlever

/// The sequencer of one shard: enforces call order, budgets and at-most-once execution, and keeps the history
/// of the shard's programs.
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

/// Limits enforced by the ledger. Times in milliseconds, sizes in tokens.
struct ledger_settings {
  std::int64_t budget_slice_ = 2048;       ///< Maximum reservation ahead of need.
  std::int64_t slices_per_budget_ = 16;    ///< A slice is at most a budget divided by this.
  std::int64_t default_budget_ = 200000;   ///< For programs that specify none.
  std::int64_t default_max_tokens_ = 512;  ///< For calls that specify none.
  int turn_limit_ = 128;                   ///< Maximum number of calls of a program.
  int loop_limit_ = 8;                     ///< Maximum number of equal requests in one program.
  milliseconds idle_limit_ = 600000;       ///< A program without calls for this time ends.
  milliseconds ended_retention_ = 600000;  ///< Time for which an ended program still answers duplicates.
  milliseconds call_limit_ = 120000;       ///< Maximum duration of one attempt.
  milliseconds report_margin_ = 5000;      ///< Time after an attempt's deadline until it is charged without a
                                           ///< report. Must cover the entry's search for a new owner.
};

/// A call as requested by its caller.
struct call_request {
  std::string account_;
  std::string program_;
  std::int32_t number_ = 1;
  std::int32_t parent_ = 0;
  std::int64_t budget_ = 0;      ///< 0 if unspecified.
  std::int64_t max_tokens_ = 0;  ///< 0 if unspecified.
  std::int64_t prompt_tokens_ = 0;
  std::uint64_t digest_ = 0;
  std::string request_id_;  ///< Identifies the entry's request; used to void a ticket that never arrived.
  bool repeatable_ = true;
  bool generates_ = true;  ///< False for services that spend no tokens.
  bool ephemeral_ = false;
  milliseconds deadline_ = 0;  ///< Time for which the caller waits, from now.
};

/// The call may be dispatched once the records are durable and an upstream is chosen.
struct open_proceed {
  std::vector<journal_record> records_;
  bool must_commit_ = false;
};

/// The call is already answered.
struct open_replay {
  std::string answer_;
  answer_location location_;
};

/// The call must wait for the previous call, or for its own answer.
struct open_wait {
  bool for_own_answer_ = false;
};

/// The call is not repeatable and may have run: the upstream must be queried for its outcome.
struct open_resolve {
  std::string upstream_;
  std::string key_;
};

/// Decision on a call to open.
using open_decision = std::variant<open_proceed, open_replay, open_wait, open_resolve, error>;

/// Outcome of an attempt.
enum class call_outcome { answered, not_run, failed };

/// Report on an attempt.
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
  bool ephemeral_ = false;  ///< The call has no program; nothing of it is durable.
  std::string request_id_;  ///< With sequence_ 0 and not_run: the ticket of this request never arrived.
};

/// Permission to send one attempt.
struct call_ticket {
  std::int64_t epoch_ = 0;
  std::int64_t sequence_ = 0;  ///< Fencing number; increases with every dispatch, across epochs.
  std::int64_t max_tokens_ = 0;
  std::string key_;
};

/// Result of a report: records that must be durable before the caller is notified, and the stored answer if
/// another attempt was answered first.
struct settle_decision {
  std::vector<journal_record> records_;
  std::optional<open_replay> replay_;
  bool answered_ = false;
};

/// A deterministic state machine: its behavior depends only on its inputs and the times passed in. Durable
/// state changes only through apply(), in journal order; all other state is lost with the process.
class program_ledger {
 public:
  /// Validates the settings and creates an empty ledger for an epoch. Failures: invalid_setting.
  static auto create(const ledger_settings& settings, std::int64_t epoch) -> result<program_ledger>;

  /// Loads a snapshot and the records after it, and holds tokens that earlier epochs left unsettled.
  /// Failures: malformed_json.
  auto recover(const journal_recovery& found, milliseconds now) -> status;

  /// Decides on a call. After open_proceed the call's cost stays committed until its attempt is cancelled or
  /// settled.
  auto open(const call_request& order, const std::string& policy, milliseconds now) -> open_decision;

  /// Creates a program before its first call. Failures: budget_mismatch if it exists with another budget.
  auto create_empty(const std::string& account, const std::string& program, std::int64_t budget,
                    const std::string& policy, milliseconds now) -> result<std::vector<journal_record>>;

  /// Issues the ticket of an opened call. The record, if any, must be durable before the ticket is used.
  auto dispatch(const call_request& order, const std::string& upstream, milliseconds now)
      -> std::pair<call_ticket, std::optional<journal_record>>;

  /// Cancels an opened or dispatched call that was certainly not sent. The records must become durable.
  auto cancel(const std::string& account, const std::string& program, std::int32_t number)
      -> std::vector<journal_record>;

  /// Records that the upstream confirmed an attempt. Returns false if the attempt is not current or not
  /// dispatched.
  auto mark_accepted(const std::string& account, const std::string& program, std::int32_t number,
                     std::int64_t sequence) -> bool;

  /// Adopts a call of an earlier epoch that is still in progress; its cost has been held since the takeover.
  /// Returns false if this contradicts the state of this epoch.
  auto adopt(const call_settlement& in_progress, milliseconds now) -> bool;

  /// Abandons an attempt that its upstream no longer processes. The records must become durable.
  auto abandon(const std::string& account, const std::string& program, std::int32_t number)
      -> std::vector<journal_record>;

  /// Processes the report on an attempt. Failures: unknown_program, call_mismatch.
  auto settle(const call_settlement& report, milliseconds now) -> result<settle_decision>;

  /// Ends a program. The records must become durable. Empty if it is unknown, has ended or is not durable.
  auto end(const std::string& account, const std::string& program, const std::string& reason)
      -> std::vector<journal_record>;

  /// Applies a durable record to the state.
  auto apply(const journal_record& record, milliseconds now) -> void;

  /// Returns records that charge timed-out attempts and end idle programs. They must become durable.
  auto expire(milliseconds now) -> std::vector<journal_record>;

  /// Removes programs whose retention after their end is over.
  auto evict_ended(milliseconds now) -> void;

  /// Returns the durable state after the row with the given sequence number. Changes nothing; call
  /// complete_snapshot once it is durable.
  auto prepare_snapshot(int shard, std::int64_t sequence) -> journal_snapshot;

  /// Removes the answers moved to a durable snapshot from memory.
  auto complete_snapshot(const journal_snapshot& snapshot) -> void;

  /// Returns a program, or null.
  [[nodiscard]] auto find(const std::string& account, const std::string& id) const -> const program*;

  /// Returns a program, or null. For updates of the inputs of scheduling policies.
  [[nodiscard]] auto find(const std::string& account, const std::string& id) -> program*;

  /// Visits every program.
  auto for_each(const std::function<void(const program&)>& visit) const -> void;

  /// Returns the number of programs.
  [[nodiscard]] auto size() const -> std::size_t { return programs_.size(); }

 private:
  /// Fencing numbers contain the epoch in their high bits, so that they increase across epochs.
  static constexpr int epoch_shift = 32;

  /// An attempt whose cost was committed in this epoch.
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
  auto reopen(program& owner, program_call& call, const call_request& order, milliseconds now)
      -> open_decision;
  auto open_next(program& owner, const call_request& order, milliseconds now) -> open_decision;
  auto start_attempt(program& owner, const call_request& order, milliseconds now) -> open_decision;
  [[nodiscard]] auto check_limits(const program& owner, const call_request& order) const
      -> std::optional<error>;
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

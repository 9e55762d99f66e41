/// Memory of programs whose budgets are spent, so that their further turns are refused without store calls.
///
/// Only tokens that the store counts as delivered by turns are remembered. They never decrease, so a refusal
/// based on them stays correct. Programs are identified by name where the store confirmed them, and by a hash
/// where a peer reported them; a reported one is confirmed by a store read before a turn is refused.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Settings of the memory. Times in ms.
struct spent_programs_settings {
  std::size_t max_programs_ = 4096;         ///< The least recently used program is evicted.
  std::size_t max_reported_ = 8;            ///< Programs per message to peers.
  milliseconds report_duration_ = 1500;     ///< Time for which a spent program is reported to peers.
  milliseconds max_confirmed_age_ = 60000;  ///< After this time the store is read again. Must be less than
                                            ///< the time for which unchanged programs are kept in the store
                                            ///< (at least 5 min), after which their names may be reused.
};

/// A spent program as reported between daemons.
struct spent_report {
  std::uint64_t program_ = 0;  ///< Hash of the program's name in row keys.
  std::int64_t tokens_ = 0;    ///< Tokens spent by its turns.
};

/// What the memory knows about a program's budget.
enum class spent_knowledge {
  unknown,
  unconfirmed,  ///< Spent according to a peer or to a confirmation that is too old.
  confirmed     ///< Spent according to the store.
};

/// The answer to whether a turn's budget is spent.
struct spent_check {
  spent_knowledge knowledge_ = spent_knowledge::unknown;
  std::int64_t tokens_ = 0;  ///< Spent tokens, according to the source.
  milliseconds age_ = 0;     ///< ms since the confirmation or report.
};

/// Has no I/O; the clock is passed in. Not thread safe.
class spent_programs {
 public:
  explicit spent_programs(const spent_programs_settings& settings = {}) : settings_{settings} {}

  /// Returns the hash by which daemons report a program to each other.
  [[nodiscard]] static auto hash_of_program(const std::string& program) -> std::uint64_t;

  /// Checks whether the spent tokens leave less than `max_tokens` of `budget`.
  auto check(const std::string& program, std::int64_t budget, std::int64_t max_tokens, milliseconds now)
      -> spent_check;

  /// Records the spent tokens of a spent program according to a store response to a request sent at
  /// `requested_at`. A new or higher count is reported to peers from `now` on.
  auto confirm(const std::string& program, std::int64_t tokens, milliseconds requested_at, milliseconds now)
      -> void;

  /// Records that the store contradicts what is known about a program: a hash collision, or a name that is
  /// used again after its rows were removed. Reports of its hash are ignored from then on.
  auto refute(const std::string& program, milliseconds now) -> void;

  /// Records a peer's report.
  auto record_report(const spent_report& report, milliseconds now) -> void;

  /// Returns the programs to report in the next message to peers, those reported least often first.
  auto next_reports(milliseconds now) -> std::vector<spent_report>;

  /// Returns the number of programs in memory.
  [[nodiscard]] auto size() const -> std::size_t { return programs_.size(); }

 private:
  struct remembered {
    std::string program_;  ///< Empty if only reported.
    std::int64_t confirmed_tokens_ = 0;
    milliseconds confirmed_at_ = 0;
    std::int64_t reported_tokens_ = 0;
    milliseconds reported_at_ = 0;
    bool refuted_ = false;  ///< Reports of this hash are ignored.
    std::list<std::uint64_t>::iterator order_;
  };

  struct outgoing_report {
    spent_report row_;
    milliseconds until_ = 0;
    int sent_ = 0;
  };

  auto remember(std::uint64_t hash) -> remembered&;
  auto report_to_peers(const spent_report& report, milliseconds now) -> void;

  spent_programs_settings settings_;
  std::unordered_map<std::uint64_t, remembered> programs_;  ///< By hash.
  std::list<std::uint64_t> order_;                          ///< Hashes, least recently used first.
  std::vector<outgoing_report> outgoing_;
};

}  // namespace birchlever

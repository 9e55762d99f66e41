/// Removes programs from the store whose retention has ended.
///
/// Each partition of the store has a preferred sweeper, chosen by hash among the known daemons. Two daemons
/// may sweep the same partition concurrently, since every removal is conditional. Clocks are not compared
/// between machines: a program is removed once this daemon itself has observed it unchanged for the retention
/// period.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/http/task.h"
#include "birchlever/storage/row_store_interface.h"

namespace birchlever {

/// Settings of the sweeper. Times in ms.
struct program_sweeper_settings {
  std::string table_ =
      "programs";  ///< Must equal those of program_store_settings, as must index_table_ and parts_.
  std::string index_table_ = "turn_programs";
  int parts_ = 32;
  milliseconds initial_delay_ = 60000;  ///< Delay of the first pass after the start.
  milliseconds pass_interval_ = 60000;  ///< Interval between passes; at most a tenth of the retention.
  milliseconds partition_interval_ =
      200;                             ///< Interval between partitions of a pass, to spread the store calls.
  milliseconds call_limit_ = 2500;     ///< Timeout of one store call.
  std::size_t rows_per_removal_ = 90;  ///< Rows per transaction; the store allows 100 entries.
};

/// Sweeps periodically. Not thread safe: runs on the coroutines of one event loop.
class program_sweeper : public std::enable_shared_from_this<program_sweeper> {
 public:
  /// Returns true if this daemon is the preferred sweeper of a partition.
  using owns_function = std::function<bool(const std::string& part)>;

  /// Returns the time for which a program is kept after its last change, in ms; 0 while unknown.
  using retention_function = std::function<milliseconds()>;

  /// Creates a sweeper and starts its passes. Failures: invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const program_sweeper_settings& settings, owns_function owns,
                     retention_function retention) -> result<std::shared_ptr<program_sweeper>>;

  /// Starts no further pass.
  auto stop() -> void { stopped_ = true; }

  /// Returns the number of programs removed so far.
  [[nodiscard]] auto removed() const -> std::int64_t { return removed_; }

 private:
  /// The last change of a program that this daemon observed.
  struct observed_change {
    std::int64_t version_ = 0;  ///< Newest version among the program's rows.
    milliseconds since_ = 0;    ///< When that version was first observed, on the local clock.
  };

  /// Index rows of one program.
  struct indexed_program {
    std::int64_t version_ = 0;
    std::vector<row_key> rows_;
  };

  using observed_changes = std::unordered_map<std::string, observed_change>;
  using index = std::unordered_map<std::string, indexed_program>;

  program_sweeper(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                  program_sweeper_settings settings, owns_function owns, retention_function retention);

  auto sweep() -> task<>;
  auto sweep_part(std::string part) -> task<status>;
  auto list_part(std::string part) -> task<result<index>>;
  auto find_expired(observed_changes& observed, const index& listed, milliseconds retention) const
      -> std::vector<std::string>;
  auto remove(std::string part, std::string program, std::vector<row_key> index_rows) -> task<status>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  program_sweeper_settings settings_;
  owns_function owns_;
  retention_function retention_;
  steady_clock clock_;
  std::unordered_map<std::string, observed_changes> observed_;  ///< By partition.
  std::int64_t removed_ = 0;
  bool stopped_ = false;
};

}  // namespace birchlever

/// Removes programs from the store that no turn can go on from any more.
///
/// No daemon is special: each part of the store has a preferred sweeper, chosen by hash among the daemons
/// that are heard of, and two daemons that sweep the same part do no harm, since every removal is
/// conditional. No clock is compared between machines: a program is removed when this daemon itself saw it
/// unchanged for long enough.
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

/// What is swept, and how.
struct program_sweeper_settings {
  std::string table_ = "programs";  ///< As in program_store_settings.
  std::string index_table_ = "turn_programs";
  int parts_ = 32;
  milliseconds first_pass_ = 60000;    ///< ms after the start; nothing of this daemon's time is older before.
  milliseconds pass_gap_ = 60000;      ///< ms between two passes: a tenth of what a program is kept, or less.
  milliseconds part_gap_ = 200;        ///< ms between two parts of a pass, which spreads its calls.
  milliseconds call_limit_ = 2500;     ///< ms for one call of the store.
  std::size_t rows_per_removal_ = 90;  ///< The store takes 100 entries in one transaction.
};

/// For coroutines of one loop.
class program_sweeper : public std::enable_shared_from_this<program_sweeper> {
 public:
  /// Says whether this daemon is the one to sweep a part.
  using owns_function = std::function<bool(const std::string& part)>;

  /// How long a program is kept after its last change, in ms; 0 while that is not known.
  using retention_function = std::function<milliseconds()>;

  /// Begins to sweep. Failures: invalid_setting.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                     const program_sweeper_settings& settings, owns_function owns,
                     retention_function retention) -> result<std::shared_ptr<program_sweeper>>;

  /// Makes no further pass.
  auto stop() -> void { stopped_ = true; }

  /// Programs removed so far.
  [[nodiscard]] auto removed() const -> std::int64_t { return removed_; }

 private:
  /// A program as this daemon last saw it change.
  struct sighting {
    std::int64_t version_ = 0;  ///< The newest of its rows.
    milliseconds since_ = 0;    ///< When that version was first seen, on our clock.
  };

  /// Rows of the index that belong to one program.
  struct indexed_program {
    std::int64_t version_ = 0;
    std::vector<row_key> rows_;
  };

  using sightings = std::unordered_map<std::string, sighting>;
  using index = std::unordered_map<std::string, indexed_program>;

  program_sweeper(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                  program_sweeper_settings settings, owns_function owns, retention_function retention);

  auto sweep() -> task<>;
  auto sweep_part(std::string part) -> task<status>;
  auto list_part(std::string part) -> task<result<index>>;
  auto overdue(sightings& seen, const index& listed, milliseconds retention) const
      -> std::vector<std::string>;
  auto remove(std::string part, std::string program, std::vector<row_key> index_rows) -> task<status>;

  event_loop* loop_;
  std::shared_ptr<row_store_interface> rows_;
  program_sweeper_settings settings_;
  owns_function owns_;
  retention_function retention_;
  steady_clock clock_;
  std::unordered_map<std::string, sightings> seen_;  ///< By part.
  std::int64_t removed_ = 0;
  bool stopped_ = false;
};

}  // namespace birchlever

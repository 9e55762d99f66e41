/// What must always hold, checked against the stand-ins' own logs of what truly ran.
#pragma once

#include <string>
#include <vector>

#include "scenarios/program_load.h"
#include "scenarios/test_fleet.h"

namespace birchlever::scenarios {

/// Each check gives the violations it found, as sentences; none when the point holds.
class invariants {
 public:
  invariants(test_fleet& fleet, const program_load& load) : fleet_{fleet}, load_{load} {}

  /// Reads the logs of all stand-ins anew.
  auto collect() -> void;

  /// The calls of one program reach the upstreams in the order issued.
  [[nodiscard]] auto order() const -> std::vector<std::string>;
  /// Every answered call is in its program's history with its own answer, and nothing else is.
  [[nodiscard]] auto history() const -> std::vector<std::string>;
  /// No program spent more than its budget on the engines.
  [[nodiscard]] auto budget() const -> std::vector<std::string>;
  /// Engines come to hold nothing for ended programs.
  [[nodiscard]] auto memory() const -> std::vector<std::string>;
  /// Every answer is whole and belongs to its request.
  [[nodiscard]] auto answers() const -> std::vector<std::string>;
  /// What was told "not run" did not run.
  [[nodiscard]] auto not_run() const -> std::vector<std::string>;
  /// What may not be repeated ran at most once.
  [[nodiscard]] auto once() const -> std::vector<std::string>;
  /// An upstream that left at the given time got nothing from so many milliseconds later on.
  [[nodiscard]] auto leaving(int engine, std::int64_t left_us, int grace_ms) const
      -> std::vector<std::string>;
  /// No answer broke off.
  [[nodiscard]] auto uncut() const -> std::vector<std::string>;
  /// No word about a tool call took longer than so many milliseconds.
  [[nodiscard]] auto prompt_words(int most_ms) const -> std::vector<std::string>;
  /// Every call ended with an answer, or with outcome_unknown where that is the truth.
  [[nodiscard]] auto served() const -> std::vector<std::string>;

 private:
  test_fleet& fleet_;
  const program_load& load_;
  nlohmann::json engine_log_ = nlohmann::json::array();
  nlohmann::json service_log_ = nlohmann::json::array();
};

}  // namespace birchlever::scenarios

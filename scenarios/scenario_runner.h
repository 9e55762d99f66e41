/// Carries out a scenario.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenarios/invariants.h"
#include "scenarios/program_load.h"
#include "scenarios/scenario.h"
#include "scenarios/test_fleet.h"

namespace birchlever::scenarios {

/// What a run of a scenario found.
struct scenario_outcome {
  bool ran_ = false;                     ///< The fleet came up and every step could be taken.
  std::vector<std::string> violations_;  ///< What did not hold.
};

/// Runs one scenario once, with or without the mechanism it names.
class scenario_runner {
 public:
  scenario_runner(const scenario& plan, int number, const std::string& binaries, const std::string& logs,
                  const std::string& without);
  ~scenario_runner();

  auto run() -> scenario_outcome;

 private:
  auto take(const scenario_step& step) -> void;
  auto process_step(const scenario_step& step) -> void;
  auto link_step(const scenario_step& step) -> void;
  auto load_step(const scenario_step& step) -> void;
  auto race() -> void;
  auto roll() -> void;
  auto stop_all() -> void;
  auto stranger() -> void;
  auto expect(const scenario_step& step) -> void;
  auto expect_generation(int at_least) -> std::vector<std::string>;
  auto expect_refused(const scenario_step& step) -> std::vector<std::string>;
  auto expect_compared(const scenario_step& step) -> std::vector<std::string>;
  auto expect_counts(const scenario_step& step) -> std::vector<std::string>;
  auto violated(const scenario_step& step, const std::vector<std::string>& sentences) -> void;
  /// Adds a violation for each process that ended although nothing asked it to.
  auto note_ends() -> void;
  [[nodiscard]] auto daemon_of(const scenario_step& step) -> int;
  auto watch_generations() -> void;

  scenario plan_;
  test_fleet fleet_;
  program_load load_;
  invariants invariants_;
  std::map<int, std::int64_t> left_us_;
  std::map<int, std::int64_t> highest_generation_;
  std::vector<std::string> violations_;
  int exit_code_ = 0;
  int race_winners_ = 0;
  int race_conflicts_ = 0;
};

}  // namespace birchlever::scenarios

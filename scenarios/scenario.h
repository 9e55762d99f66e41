/// A scripted scenario: steps against a fleet of real processes, and what must hold afterwards.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever::scenarios {

/// What a step does. The table in scenario_grammar.cpp gives the words.
enum class step_verb {
  start,
  stop,
  kill,
  freeze,
  thaw,
  cut,
  lose_answers,
  heal,
  fault,
  leave,
  run_load,
  wait_load,
  wait_ms,
  wait_calls,
  wait_owner,
  operate,
  race,
  roll,
  stranger,
  expect,
};

/// One step. Numbers and names are in the order of the words.
struct scenario_step {
  step_verb verb_ = step_verb::start;
  int line_ = 0;
  std::string subject_;             ///< daemon, engine, service, platform, or what is expected.
  std::vector<std::string> names_;  ///< Further words and quoted texts.
  std::vector<double> numbers_;
};

/// A whole scenario.
struct scenario {
  std::string name_;
  int daemons_ = 3;
  int engines_ = 3;
  bool checks_fence_ = true;
  bool knows_keys_ = true;
  std::string without_;   ///< Mechanism whose absence must make an expectation fail; empty when none.
  std::string settings_;  ///< Extra settings of the daemons.
  std::vector<scenario_step> steps_;
};

/// Reads a scenario. Failures: syntax_error naming line, column and what was expected.
[[nodiscard]] auto parse_scenario(const std::string& text) -> result<scenario>;

}  // namespace birchlever::scenarios

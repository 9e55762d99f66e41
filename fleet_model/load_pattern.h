/// A load and what goes wrong under it, read from a file that says what it stands for and where its figures
/// come from.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever::model {

/// What goes wrong.
enum class disturbance_kind {
  daemons_cut,     ///< A share of the daemons reaches no upstream; they still reach each other.
  answers_lost,    ///< Upstreams run a share of the requests, and their answers are lost.
  upstreams_dead,  ///< A share of the upstreams refuses every connection and stays listed.
  hall_dead,       ///< Likewise all upstreams of the first data hall.
  engines_slow,    ///< A share of the engines, of all speeds alike, is slower by a factor.
  burst            ///< So many times as many programs begin.
};

/// One disturbance. Times in ms from the start.
struct disturbance {
  disturbance_kind kind_ = disturbance_kind::burst;
  double at_ms_ = 0;
  double for_ms_ = 0;
  double share_ = 0;   ///< Of daemons, upstreams or answers.
  double factor_ = 1;  ///< Of programs, or of the time that slow engines take.
};

/// A call that programs make between two turns.
struct tool_shape {
  double work_ms_ = 0;
  double share_ = 0;  ///< Of the pauses in which it is made.
  int times_ = 1;     ///< So many at once.
};

/// Programs of one route.
struct program_shape {
  std::string name_;
  double per_s_ = 0;
  double worth_ = 1;
  double late_worth_ = 0;
  int rank_ = 0;                 ///< 0 is the most urgent.
  double turns_ = 1;             ///< At the mean.
  double shared_ = 0;            ///< Tokens of the prompt's shared part.
  double input_ = 0;             ///< New tokens a turn, at the mean.
  double output_ = 0;            ///< Tokens an answer, at the mean.
  double think_ms_ = 0;          ///< Pause between turns, at the mean, beside tools.
  double aim_factor_ = 1;        ///< The aim is so many times the duration on idle engines.
  double objective_ms_ = 200;    ///< Added to the aim.
  double time_limit_ms_ = 4000;  ///< A try's.
};

/// A fleet and its load.
struct load_pattern {
  std::string stands_for_;
  std::string grounds_;
  int daemons_ = 12;
  int halls_ = 3;
  double duration_ms_ = 20000;
  int engines_ = 12;
  int slots_ = 6;
  double step_ms_ = 4.63;          ///< A token on an idle engine.
  double step_stream_ms_ = 0.153;  ///< Longer for each further stream.
  double prefill_per_ms_ = 37.9;   ///< Prompt tokens read in a ms.
  double engine_tokens_ = 71754;   ///< Memory.
  double slow_speed_ = 1;          ///< Speed of the first of every three engines relative to the second.
  double fast_speed_ = 1;          ///< Likewise of the third.
  int engine_queue_ = 18;          ///< Requests that wait; any more are refused.
  int services_ = 25;
  int service_slots_ = 6;
  int service_queue_ = 24;
  double moves_ = 0.5;  ///< Share of turns that come through another daemon than the one before.
  std::vector<tool_shape> tools_;
  std::vector<program_shape> programs_;
  std::vector<disturbance> disturbances_;
};

/// Reads a pattern: `name = number` lines, `stands_for` and `grounds` as texts, and lines that begin with
/// `tool`, `program` or `disturb` and go on with `name=value` words. Failures: invalid_setting, naming the
/// line.
[[nodiscard]] auto parse_pattern(std::string_view text) -> result<load_pattern>;

/// Reads a pattern's file. Failures: invalid_setting.
[[nodiscard]] auto read_pattern(const std::string& file) -> result<load_pattern>;

}  // namespace birchlever::model

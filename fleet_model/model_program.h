/// One agent program of the model, drawn in advance, and how far it has come.
#pragma once

#include <random>
#include <vector>

#include "birchlever/upstream/prompt_cache.h"
#include "fleet_model/load_pattern.h"

namespace birchlever::model {

/// One turn and the pause behind it.
struct model_turn {
  double input_ = 0;   ///< New prompt tokens.
  double output_ = 0;  ///< Answer tokens.
  double think_ms_ = 0;
  std::vector<double> tools_ms_;  ///< Work of the tools called behind it, all at once.
};

/// A program's life. Times in ms from the start of the model.
struct model_program {
  const program_shape* shape_ = nullptr;
  std::uint64_t id_ = 0;
  std::uint64_t shared_id_ = 0;
  std::vector<model_turn> turns_;
  double began_ms_ = 0;
  double aim_ms_ = 0;  ///< From its beginning.
  // As it goes.
  std::size_t turn_ = 0;
  int tries_ = 0;     ///< Of the present turn, since it was last begun anew.
  int restarts_ = 0;  ///< Of the present turn.
  int daemon_ = 0;
  double turn_began_ms_ = 0;  ///< The present turn, with its repetitions.
  std::string last_upstream_;
  bool ended_ = false;

  /// The parts of the present turn's prompt, oldest first.
  [[nodiscard]] auto parts() const -> std::vector<prompt_part>;
};

/// Draws programs. Deterministic for its seed.
class program_source {
 public:
  program_source(const load_pattern& pattern, std::uint64_t seed) : pattern_{&pattern}, random_{seed} {}

  auto draw(const program_shape& shape, double now_ms) -> model_program;

  /// ms until the next program of a shape, when so many times as many begin as usual.
  auto next_gap_ms(const program_shape& shape, double factor) -> double;

  /// A share between 0 and 1.
  auto chance() -> double;

 private:
  auto about(double mean, double spread) -> double;
  auto draw_turn(const program_shape& shape) -> model_turn;

  const load_pattern* pattern_;
  std::mt19937_64 random_;
  std::uint64_t drawn_ = 0;
};

}  // namespace birchlever::model

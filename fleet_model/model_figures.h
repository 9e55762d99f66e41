/// Counts what became of a model's load.
#pragma once

#include "fleet_model/daemon_group.h"
#include "fleet_model/fleet_model.h"
#include "fleet_model/model_program.h"
#include "fleet_model/upstream_park.h"

namespace birchlever::model {

/// Gathers the figures of one run.
class model_figures {
 public:
  explicit model_figures(const load_pattern& pattern);

  /// A program begins; it is owed if its aim lies within the run.
  auto begin(const model_program& program) -> void;

  /// A program ended well.
  auto end(const model_program& program, double now_ms) -> void;

  /// A program ended without its last turn.
  auto fail(const model_program& program) -> void;

  /// A prompt was sent to an engine that was believed to hold so many of its tokens.
  auto note_prompt(std::int64_t tokens, std::int64_t held) -> void;

  /// Upstreams died or came back.
  auto note_dead(std::int64_t dead, double now_ms) -> void;

  /// A request was offered to an upstream.
  auto note_offer(const placed_upstream& target, double now_ms) -> void;

  /// A turn was served.
  auto note_turn(double began_ms, double now_ms) -> void {
    outcome_.turns_.push_back({began_ms, now_ms - began_ms});
  }

  /// Looks at what every daemon avoids now.
  auto look(const daemon_group& daemons, upstream_park& upstreams, milliseconds now) -> void;

  /// The figures at the end.
  [[nodiscard]] auto outcome(const upstream_park& upstreams) const -> model_outcome;

 private:
  [[nodiscard]] auto counts(const model_program& program) const -> bool;

  const load_pattern* pattern_;
  model_outcome outcome_;
  double dead_since_ms_ = 0;
  std::int64_t dead_ = 0;
  double offers_ = 0;  ///< Since upstreams are dead and should be known to be.
  double dead_offers_ = 0;
  double avoided_total_ = 0;
  double avoided_looks_ = 0;
  double asked_tokens_ = 0;
  double lacking_tokens_ = 0;
};

}  // namespace birchlever::model

#include "fleet_model/model_program.h"

#include <algorithm>
#include <cmath>

#include "birchlever/core/hashing.h"

namespace birchlever::model {
namespace {

constexpr auto shared_kinds = 3;    // Different shared parts a route has, by the platform's sheets.
constexpr auto turns_spread = 0.4;  // The sheets' spreads, as shares of the mean.
constexpr auto input_spread = 0.7;
constexpr auto output_spread = 0.8;
constexpr auto think_spread = 0.6;
constexpr auto way_ms = 26.0;          // Added to each turn's idle time by the sheets.
constexpr auto first_token_ms = 19.0;  // An idle engine's, beside reading the prompt.
constexpr auto ms_per_second = 1000.0;

auto part_id(std::uint64_t program, std::size_t turn) -> std::uint64_t {
  return hash_of(std::to_string(program), turn + 1);
}

}  // namespace

auto model_program::parts() const -> std::vector<prompt_part> {
  auto all = std::vector<prompt_part>{{shared_id_, static_cast<std::int64_t>(shape_->shared_)}};
  for (auto turn = std::size_t{0}; turn < turn_; ++turn) {
    auto tokens = turns_[turn].input_ + turns_[turn].output_;
    all.push_back({part_id(id_, turn), static_cast<std::int64_t>(tokens)});
  }
  all.push_back({part_id(id_, turn_), static_cast<std::int64_t>(turns_[turn_].input_)});
  return all;
}

auto program_source::chance() -> double {
  constexpr auto bits = 53;
  return std::ldexp(static_cast<double>(random_() >> (64U - bits)), -bits);
}

auto program_source::about(double mean, double spread) -> double {
  return mean * (1 + spread * (2 * chance() - 1));
}

auto program_source::next_gap_ms(const program_shape& shape, double factor) -> double {
  return -std::log(1 - chance()) * ms_per_second / (shape.per_s_ * factor);
}

auto program_source::draw_turn(const program_shape& shape) -> model_turn {
  auto turn = model_turn{};
  turn.input_ = std::floor(about(shape.input_, input_spread));
  turn.output_ = std::ceil(about(shape.output_, output_spread));
  turn.think_ms_ = about(shape.think_ms_, think_spread);
  for (const auto& tool : pattern_->tools_) {
    auto called = chance() < tool.share_;
    for (auto time = 0; called && time < tool.times_; ++time) {
      turn.tools_ms_.push_back(std::min(-std::log(1 - chance()), 4.0) * tool.work_ms_);
    }
  }
  return turn;
}

auto program_source::draw(const program_shape& shape, double now_ms) -> model_program {
  auto made = model_program{};
  made.shape_ = &shape;
  made.id_ = ++drawn_;
  auto kind = static_cast<std::uint64_t>(chance() * shared_kinds);
  made.shared_id_ = hash_of(shape.name_, kind);
  made.began_ms_ = now_ms;
  made.daemon_ = static_cast<int>(chance() * pattern_->daemons_);
  auto turns = std::max(1.0, std::round(about(shape.turns_, turns_spread)));
  auto idle_ms = 0.0;
  for (auto turn = 0; turn < static_cast<int>(turns); ++turn) {
    made.turns_.push_back(draw_turn(shape));
    const auto& drawn = made.turns_.back();
    auto read = drawn.input_ + (turn == 0 ? shape.shared_ : 0);
    idle_ms +=
        way_ms + first_token_ms + read / pattern_->prefill_per_ms_ + drawn.output_ * pattern_->step_ms_;
    if (turn + 1 < static_cast<int>(turns)) {
      auto slowest = std::max_element(drawn.tools_ms_.begin(), drawn.tools_ms_.end());
      idle_ms += drawn.think_ms_ + (slowest == drawn.tools_ms_.end() ? 0.0 : *slowest);
    }
  }
  made.aim_ms_ = shape.aim_factor_ * idle_ms + shape.objective_ms_;
  return made;
}

}  // namespace birchlever::model

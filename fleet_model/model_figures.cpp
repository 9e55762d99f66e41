#include "fleet_model/model_figures.h"

#include <algorithm>

namespace birchlever::model {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto found_within_ms = 1000.0;  // Offers to dead upstreams count from then on.

auto second_of(const model_program& program) -> std::size_t {
  return static_cast<std::size_t>(program.began_ms_ / ms_per_second);
}

}  // namespace

model_figures::model_figures(const load_pattern& pattern) : pattern_{&pattern} {
  auto seconds = static_cast<std::size_t>(pattern.duration_ms_ / ms_per_second) + 1;
  outcome_.owed_by_second_.resize(seconds);
  outcome_.earned_by_second_.resize(seconds);
}

auto model_figures::counts(const model_program& program) const -> bool {
  return program.began_ms_ + program.aim_ms_ <= pattern_->duration_ms_;
}

auto model_figures::begin(const model_program& program) -> void {
  if (counts(program)) {
    ++outcome_.programs_;
    outcome_.owed_ += program.shape_->worth_;
    outcome_.owed_by_second_[second_of(program)] += program.shape_->worth_;
  }
}

auto model_figures::end(const model_program& program, double now_ms) -> void {
  if (!counts(program)) {
    return;
  }
  auto took = now_ms - program.began_ms_;
  auto in_time = took <= program.aim_ms_;
  auto late_worth = took <= 2 * program.aim_ms_ ? program.shape_->late_worth_ : 0;
  auto earned = in_time ? program.shape_->worth_ : late_worth;
  outcome_.late_ += in_time ? 0 : 1;
  outcome_.earned_ += earned;
  outcome_.earned_by_second_[second_of(program)] += earned;
}

auto model_figures::fail(const model_program& program) -> void {
  outcome_.failed_ += counts(program) ? 1 : 0;
}

auto model_figures::note_prompt(std::int64_t tokens, std::int64_t held) -> void {
  asked_tokens_ += static_cast<double>(tokens);
  lacking_tokens_ += static_cast<double>(tokens - held);
}

auto model_figures::note_dead(std::int64_t dead, double now_ms) -> void {
  dead_ = dead;
  dead_since_ms_ = now_ms;
}

auto model_figures::note_offer(const placed_upstream& target, double now_ms) -> void {
  if (target.entry_.service_ == engine_service) {
    outcome_.engine_offers_.push_back({now_ms, target.entry_.id_});
  }
  if (dead_ > 0 && now_ms >= dead_since_ms_ + found_within_ms) {
    ++offers_;
    dead_offers_ += target.dead_ ? 1 : 0;
  }
}

auto model_figures::look(const daemon_group& daemons, upstream_park& upstreams, milliseconds now) -> void {
  for (const auto& daemon : daemons.all()) {
    auto sound = 0;
    auto avoided = 0;
    daemon->directory_.each([&](const upstream& one) {
      if (!upstreams.at(one.entry().id_).dead_) {
        ++sound;
        avoided += one.health().avoided(now) ? 1 : 0;
      }
    });
    auto share = static_cast<double>(avoided) / std::max(sound, 1);
    outcome_.most_avoided_ = std::max(outcome_.most_avoided_, daemon->cut_ ? 0 : share);
    avoided_total_ += share;
    avoided_looks_ += 1;
  }
}

auto model_figures::outcome(const upstream_park& upstreams) const -> model_outcome {
  auto told = outcome_;
  told.mean_avoided_ = avoided_looks_ > 0 ? avoided_total_ / avoided_looks_ : 0;
  auto fair = offers_ * static_cast<double>(dead_) / static_cast<double>(upstreams.all().size());
  told.dead_offers_ = fair > 0 ? dead_offers_ / fair : 0;
  told.read_share_ = asked_tokens_ > 0 ? lacking_tokens_ / asked_tokens_ : 0;
  auto total = 0.0;
  for (auto index = 0; index < pattern_->engines_; ++index) {
    auto taken = upstreams.all()[static_cast<std::size_t>(index)].model_->taken();
    total += taken;
    told.idle_engines_ += taken == 0 ? 1 : 0;
    told.busiest_engine_ = std::max(told.busiest_engine_, static_cast<double>(taken));
  }
  told.busiest_engine_ /= std::max(total / pattern_->engines_, 1.0);
  return told;
}

auto model_outcome::turn_p90(double from_ms) const -> double {
  auto took = std::vector<double>{};
  for (const auto& turn : turns_) {
    if (turn.began_ms_ >= from_ms) {
      took.push_back(turn.took_ms_);
    }
  }
  constexpr auto part = 0.9;
  auto place = took.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(took.size()));
  std::nth_element(took.begin(), place, took.end());
  return took.empty() ? 0 : *place;
}

auto model_outcome::worth_between(double from_s, double to_s) const -> double {
  auto owed = 0.0;
  auto earned = 0.0;
  for (auto second = std::size_t{0}; second < owed_by_second_.size(); ++second) {
    auto at = static_cast<double>(second);
    auto within = at >= from_s && at < to_s;
    owed += within ? owed_by_second_[second] : 0;
    earned += within ? earned_by_second_[second] : 0;
  }
  return owed > 0 ? earned / owed : 0;
}

}  // namespace birchlever::model

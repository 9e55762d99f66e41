#include "birchlever/admission/program_admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto balanced_shortage = 0.4;  // New programs replace completed ones one for one.
constexpr auto max_correction = 1.1;     // Of the rate of completed programs, at a low shortage.
constexpr auto first_turn_waits = 2.0;  // Waits of a program in addition to one per turn: its first write has
                                        // the lowest priority.
constexpr auto max_size_ratio = 4.0;    // Of a program to the fleet's mean. A daemon that saw few first turns
                                        // lately expects far too many turns per program.
constexpr auto deadline_ratio = 2.0;    // Least ratio of a program's deadline to its duration.
constexpr auto low_quantile = 0.1;      // Of the times left at the start of a route's programs.
constexpr auto quantile_step = 0.05;    // Relative change by one observation.
constexpr auto usual_time_left_ms = 4000.0;  // Time left at which a program is in the middle of its class.
constexpr auto jitter_steps = std::uint64_t{1000};

/// Returns the position of a program within its class, 0 (first) to 1. The shorter a program's time is, the
/// less capacity it needs, and the earlier it was refused if it was.
auto position_in_class(const program_claim& claim) -> double {
  auto time_left = static_cast<double>(claim.program_time_left_.value_or(claim.request_time_left_));
  time_left = std::max(time_left, 0.0);
  return time_left / (time_left + usual_time_left_ms);
}

}  // namespace

auto name_of(admission_refusal cause) -> std::string_view {
  constexpr auto names =
      std::array<std::string_view, 5>{"none", "no_capacity", "lower_order", "late", "local_backlog"};
  return names.at(static_cast<std::size_t>(cause));
}

auto explain(admission_refusal cause) -> std::string_view {
  constexpr auto texts =
      std::array<std::string_view, 5>{"", "started programs use the whole capacity",
                                      "started and more urgent or smaller programs use the whole capacity",
                                      "capacity is short and the program's deadline can no longer be met",
                                      "this daemon's queue of store writes is too long for a new program"};
  return texts.at(static_cast<std::size_t>(cause));
}

auto program_admission::combine(const pressure_report& own,
                                const std::vector<aged_pressure_report>& peers) const -> fleet_pressure {
  auto fleet = fleet_pressure{};
  auto total = pressure_report{};
  auto weights = 0.0;
  auto add = [&](const pressure_report& report, double weight) {
    weights += weight;
    total.write_wait_ms_ += weight * report.write_wait_ms_;
    total.writes_per_s_ += weight * report.writes_per_s_;
    total.throttled_per_s_ += weight * report.throttled_per_s_;
    total.upstreams_ += weight * report.upstreams_;
    total.served_turns_per_s_ += weight * report.served_turns_per_s_;
    total.first_turns_per_s_ += weight * report.first_turns_per_s_;
    total.turns_per_s_ += weight * report.turns_per_s_;
  };
  add(own, 1);
  for (const auto& peer : peers) {
    add(peer.report_, std::exp(-static_cast<double>(peer.age_) / settings_.report_decay_ms_));
    fleet.oldest_ms_ = std::max(fleet.oldest_ms_, peer.age_);
  }
  fleet.reports_ = peers.size();
  fleet.write_wait_ms_ = total.write_wait_ms_ / weights;
  fleet.throttled_share_ = total.throttled_per_s_ / (total.writes_per_s_ + settings_.throttled_prior_per_s_);
  fleet.upstreams_ = total.upstreams_ / weights;
  if (total.first_turns_per_s_ > 0) {
    fleet.turns_per_program_ = total.turns_per_s_ / total.first_turns_per_s_;
    fleet.programs_per_s_ = total.served_turns_per_s_ / weights / fleet.turns_per_program_;
  }
  fleet.shortage_ = std::max({fleet.write_wait_ms_ / full_write_wait(),
                              fleet.throttled_share_ / settings_.full_throttled_share_, fleet.upstreams_});
  return fleet;
}

auto program_admission::set_write_interval(milliseconds interval) -> void {
  write_interval_ = std::min(interval, settings_.max_write_interval_);
}

auto program_admission::full_write_wait() const -> double {
  return static_cast<double>(settings_.full_write_wait_ + write_interval_);
}

auto program_admission::update(const pressure_report& own, const std::vector<aged_pressure_report>& peers,
                               milliseconds now) -> bool {
  refill(now);
  pressure_ = combine(own, peers);
  own_write_wait_ms_ = own.write_wait_ms_;
  auto changed = update_limited(now);
  auto correction = std::clamp((1 - pressure_.shortage_) / (1 - balanced_shortage), 0.0, max_correction);
  rate_ = pressure_.programs_per_s_ * correction;
  if (pressure_.shortage_ <
      1) {  // The rate follows the completed programs and would otherwise decay to zero.
    rate_ = std::max(rate_, settings_.min_rate_per_s_);
  }
  return changed;
}

auto program_admission::update_limited(milliseconds now) -> bool {
  if (!limited_) {
    limited_ = pressure_.shortage_ >= settings_.enter_at_;
    low_since_ = 0;
    if (limited_) {
      tokens_ = capacity() / 2;
      filled_at_ = now;
      next_retry_at_ = 0;
    }
    return limited_;
  }
  if (pressure_.shortage_ >= settings_.leave_below_) {
    low_since_ = 0;
  } else if (low_since_ == 0) {
    low_since_ = now;
  }
  auto low_for = low_since_ == 0 ? 0 : now - low_since_;
  auto binding = now - refused_at_ < settings_.leave_after_;
  limited_ = low_for < (binding ? settings_.leave_binding_after_ : settings_.leave_after_);
  return !limited_;
}

auto program_admission::capacity() const -> double {
  return std::max(settings_.bucket_, rate_ * static_cast<double>(settings_.bucket_time_) / ms_per_second);
}

auto program_admission::refill(milliseconds now) -> void {
  auto elapsed = static_cast<double>(std::max<milliseconds>(now - filled_at_, 0));
  tokens_ = std::min(tokens_ + rate_ * elapsed / ms_per_second, capacity());
  filled_at_ = now;
}

auto program_admission::learn_time_left(const program_claim& claim) -> void {
  if (claim.program_time_left_.value_or(0) <= 0) {
    return;  // Overdue programs say nothing about the duration of the route's programs.
  }
  auto observed = static_cast<double>(*claim.program_time_left_);
  auto [known, added] = short_time_left_.try_emplace(claim.route_, observed);
  auto direction = observed < known->second ? low_quantile - 1 : low_quantile;
  known->second *= 1 + (added ? 0 : quantile_step * direction);
}

auto program_admission::expected_turns(const program_claim& claim) const -> double {
  return std::min(claim.expected_turns_, max_size_ratio * pressure_.turns_per_program_);
}

auto program_admission::slack_of(const program_claim& claim) const -> std::optional<double> {
  auto known = short_time_left_.find(claim.route_);
  if (!claim.program_time_left_ || known == short_time_left_.end()) {
    return std::nullopt;
  }
  auto waits = (expected_turns(claim) + first_turn_waits) * pressure_.write_wait_ms_;
  return static_cast<double>(*claim.program_time_left_) - known->second / deadline_ratio - waits;
}

auto program_admission::required_tokens(const program_claim& claim) const -> double {
  auto most = capacity() - 1;
  if (slack_of(claim).value_or(0) < 0) {
    return most;
  }
  auto classes = static_cast<double>(std::max(claim.classes_, 1));
  auto position = (static_cast<double>(claim.urgency_) + position_in_class(claim)) / classes;
  return 1 + (most - 1) * std::clamp(position, 0.0, 1.0);
}

auto program_admission::schedule_retry(const program_claim& claim, milliseconds now) -> milliseconds {
  auto slack = slack_of(claim).value_or(0);
  auto most = std::min(static_cast<double>(settings_.max_retry_),
                       settings_.max_retry_share_ * static_cast<double>(claim.request_time_left_));
  if (slack > 0) {  // Leaves time for two more attempts before the deadline can no longer be met.
    most = std::min(most, slack / 2);
  }
  most = std::max(most, static_cast<double>(settings_.min_retry_));
  auto earliest = static_cast<double>(now + settings_.min_retry_);
  auto at = std::max(next_retry_at_, earliest);
  auto delay = at - static_cast<double>(now);
  if (rate_ > 0 && delay <= most) {
    next_retry_at_ = at + ms_per_second / rate_;
  } else {  // Later than the caller can return: spread over the second half of the time that it waits.
    auto jitter = static_cast<double>(claim.seed_ % jitter_steps) / static_cast<double>(jitter_steps);
    delay = most * (1 + jitter) / 2;
  }
  return static_cast<milliseconds>(std::ceil(delay));
}

auto program_admission::refusal_of(const program_claim& claim, double required) const -> admission_refusal {
  if (pressure_.shortage_ >= 1) {
    return admission_refusal::no_capacity;
  }
  if (own_write_wait_ms_ >= full_write_wait()) {
    return admission_refusal::local_backlog;
  }
  auto late = slack_of(claim).value_or(0) < 0;
  if (late && (pressure_.shortage_ >= settings_.leave_below_ || tokens_ < required)) {
    return admission_refusal::late;
  }
  return tokens_ < required ? admission_refusal::lower_order : admission_refusal::none;
}

auto program_admission::decide(const program_claim& claim, milliseconds now) -> program_verdict {
  auto verdict = program_verdict{};
  if (!limited_) {
    learn_time_left(claim);
    return verdict;
  }
  refill(now);
  verdict.tokens_ = tokens_;
  verdict.required_ = required_tokens(claim);
  verdict.refusal_ = refusal_of(claim, verdict.required_);
  if (verdict.admitted()) {
    tokens_ -= expected_turns(claim) / pressure_.turns_per_program_;
  } else {
    refused_at_ = now;
    verdict.retry_after_ = schedule_retry(claim, now);
  }
  return verdict;
}

}  // namespace birchlever

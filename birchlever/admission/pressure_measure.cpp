#include "birchlever/admission/pressure_measure.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto min_visible_share = 0.05;  // Fewer reports than that are not extrapolated any further.
constexpr auto assumed_programs = 2.0;    // Of mean size, in addition to the observed ones of a route.
constexpr auto max_pressure = 2.0;        // A single daemon must not dominate the mean of the fleet.

/// Returns the requests in flight per slot, extrapolated to daemons that did not report.
auto occupancy_of(const service_load& load, double visible_share) -> double {
  if (load.slots_ <= 0) {
    return 0;
  }
  auto elsewhere = load.running_elsewhere_ / std::max(visible_share, min_visible_share);
  return (load.running_ + elsewhere) / load.slots_;
}

}  // namespace

pressure_measure::pressure_measure(const pressure_measure_settings& settings)
    : settings_{settings},
      writes_{settings.refusal_window_ms_},
      throttled_{settings.refusal_window_ms_},
      served_{settings.served_window_ms_},
      first_turns_{settings.program_window_ms_},
      turns_{settings.program_window_ms_} {}

auto pressure_measure::record_sample(const pressure_sample& sample, milliseconds now) -> void {
  auto elapsed = static_cast<double>(std::max<milliseconds>(now - sampled_at_, 0));
  auto weight = 1 - std::exp(-elapsed / settings_.wait_window_ms_);
  sampled_at_ = now;
  write_wait_ms_ += weight * (static_cast<double>(sample.write_wait_) - write_wait_ms_);
  writes_.add(static_cast<double>(sample.writes_ - writes_seen_), now);
  throttled_.add(static_cast<double>(sample.throttled_ - throttled_seen_), now);
  writes_seen_ = sample.writes_;
  throttled_seen_ = sample.throttled_;
  if (sample.services_.empty()) {
    return;
  }
  upstreams_ = 0;
  worst_service_.clear();
  for (const auto& [name, load] : sample.services_) {
    auto& average = services_.try_emplace(name, settings_).first->second;
    auto pressure = record_service(average, load, sample.visible_share_, now);
    if (pressure > upstreams_) {
      upstreams_ = pressure;
      worst_service_ = name;
    }
  }
}

auto pressure_measure::record_service(service_average& average, const service_load& load,
                                      double visible_share, milliseconds now) -> double {
  auto responses = static_cast<double>(load.responses_ - average.last_.responses_);
  auto response_ms = static_cast<double>(load.response_ms_ - average.last_.response_ms_);
  average.finished_.add(static_cast<double>(load.finished_ - average.last_.finished_), now);
  average.refused_.add(static_cast<double>(load.refused_full_ - average.last_.refused_full_), now);
  average.responses_.add(responses, now);
  average.response_ms_.add(response_ms, now);
  average.last_ = load;
  auto occupancy = occupancy_of(load, visible_share);
  if (responses > 0 && occupancy < settings_.usual_max_occupancy_) {
    auto mean = response_ms / responses;
    auto elapsed = static_cast<double>(now - average.usual_at_);
    auto weight = 1 - std::exp(-elapsed / settings_.usual_window_ms_);
    average.usual_ms_ += (average.usual_ms_ == 0 ? 1 : weight) * (mean - average.usual_ms_);
    average.usual_at_ = now;
  }
  auto by_refusals = refusal_pressure(average, occupancy, now);
  auto by_waits = wait_pressure(average, occupancy, now);
  return std::min(std::max(by_refusals, by_waits), max_pressure);
}

auto pressure_measure::refusal_pressure(const service_average& average, double occupancy,
                                        milliseconds now) const -> double {
  auto seconds = settings_.refusal_window_ms_ / ms_per_second;
  auto refused = average.refused_.per_s(now) * seconds;
  auto finished = average.finished_.per_s(now) * seconds;
  auto share = refused / (finished + settings_.refused_prior_);
  auto range = settings_.full_occupancy_ - settings_.free_occupancy_;
  auto busy = std::clamp((occupancy - settings_.free_occupancy_) / range, 0.0, 1.0);
  return busy * share / settings_.full_refused_share_;
}

auto pressure_measure::wait_pressure(const service_average& average, double occupancy, milliseconds now) const
    -> double {
  auto responses = average.responses_.per_s(now);
  if (occupancy <= 1 || average.usual_ms_ <= 0 || responses <= 0) {
    return 0;
  }
  auto recent = average.response_ms_.per_s(now) / responses;
  auto increase = std::max(recent / average.usual_ms_ - 1, 0.0);
  auto by_count = (occupancy - 1) / settings_.full_waiting_share_;
  return std::min(by_count, increase / settings_.full_response_increase_);
}

auto pressure_measure::record_turn(const std::string& route, bool first, milliseconds now) -> void {
  auto& counted = routes_.try_emplace(route, settings_.program_window_ms_).first->second;
  counted.all_.add(1, now);
  counted.first_.add(first ? 1 : 0, now);
  turns_.add(1, now);
  first_turns_.add(first ? 1 : 0, now);
}

auto pressure_measure::expected_turns(const std::string& route, milliseconds now) const -> double {
  auto all_first = first_turns_.per_s(now);
  auto mean = all_first > 0 ? turns_.per_s(now) / all_first : 1;
  auto known = routes_.find(route);
  if (known == routes_.end()) {
    return mean;
  }
  auto seconds = settings_.program_window_ms_ / ms_per_second;
  auto first = known->second.first_.per_s(now) * seconds + assumed_programs;
  auto turns = known->second.all_.per_s(now) * seconds + assumed_programs * mean;
  return turns / first;
}

auto pressure_measure::record_served(milliseconds now) -> void {
  served_.add(1, now);
}

auto pressure_measure::report(milliseconds now) const -> pressure_report {
  auto report = pressure_report{};
  report.write_wait_ms_ = write_wait_ms_;
  report.writes_per_s_ = writes_.per_s(now);
  report.throttled_per_s_ = throttled_.per_s(now);
  report.upstreams_ = upstreams_;
  report.served_turns_per_s_ = served_.per_s(now);
  report.first_turns_per_s_ = first_turns_.per_s(now);
  report.turns_per_s_ = turns_.per_s(now);
  return report;
}

}  // namespace birchlever

#include "birchlever/upstream/speed_learner.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "birchlever/core/hashing.h"
#include "birchlever/policy/policy_view.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto token_window_ms = milliseconds{200};  // As long as the interval between messages to peers.
constexpr auto min_window_tokens = 4.0;              // Below, the clock's resolution distorts the ratio.
constexpr auto max_gap_ratio = 1.5;  // Of the lowest eighth of the gaps; longer ones are pauses.
constexpr auto min_window_ms = milliseconds{20};
constexpr auto max_blocked_share = 0.1;    // Of a window; beyond, the caller determined its duration.
constexpr auto fixed_work_tokens = 512.0;  // Prompt tokens that an engine reads in the time that each
                                           // request takes before its prompt is read.
constexpr auto pending_ratio = 1.5;        // Waits beyond this multiple of the expected duration count.
constexpr auto longest_pause_ms = 200.0;   // A stream may pause for as long while the engine reads prompts.
constexpr auto pause_weight = 0.5;
constexpr auto first_event_share = 0.2;  // Of the weight of other observations: the number of cached prompt
                                         // tokens is an estimate.
constexpr auto report_age_ms = milliseconds{1500};  // The age at which peers ignore a state.
constexpr auto mean_interval_ms = milliseconds{1000};
constexpr auto forget_after_ms = milliseconds{60000};
constexpr auto min_confidence = 0.05;
constexpr auto min_distinct = 0.8;   // Slowness from here to its reciprocal counts as 1, so that a fleet of
constexpr auto max_distinct = 1.25;  // equal upstreams is served as without estimates.
constexpr auto uncertainty = 0.5;  // Of the logarithm after one precise observation; an estimate counts once
                                   // it exceeds the limits by the uncertainty of its weight.
constexpr auto distinct_weight = 6.0;  // Required as well; a single observation has at most 2, and under load
                                       // two of them may be extreme.
constexpr auto mean_prior_weight = 8.0;  // Weight of the assumption that the mean is 1: as that of one
                                         // settled estimate.
constexpr auto changed_ratio = 1.5;      // From this factor, a row is sent before the others.
constexpr auto notable_ratio = 1.25;
constexpr auto log_interval_ms = milliseconds{1000};  // Between two lines about one upstream.
constexpr auto max_logged = 10;  // Lines of one daemon per log_interval_ms; changes beyond are only counted.

auto hash_of_incarnation(const upstream_entry& entry) -> std::uint32_t {
  return static_cast<std::uint32_t>(hash_of(incarnation_of(entry)));
}

auto response_kind(const request_progress& progress) -> std::string {
  return "response " + progress.route_;
}

/// Returns the sum of the gaps without those that are much longer than the lowest eighth. An engine pauses
/// all streams while it reads a long prompt, which depends on its load rather than on its speed: under load,
/// most gaps of a stream can contain such a pause.
auto typical_gap(std::vector<token_gap> gaps) -> token_gap {
  auto sum = token_gap{};
  if (gaps.empty()) {
    return sum;
  }
  auto per_token = [](const token_gap& gap) { return gap.duration_ / std::max(gap.tokens_, 1.0); };
  auto lowest = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 8);
  std::nth_element(gaps.begin(), lowest, gaps.end(), [&](const token_gap& left, const token_gap& right) {
    return per_token(left) < per_token(right);
  });
  auto limit = max_gap_ratio * per_token(*lowest);
  for (const auto& gap : gaps) {
    auto counts = per_token(gap) <= limit;
    sum.duration_ += counts ? gap.duration_ : 0;
    sum.tokens_ += counts ? gap.tokens_ : 0;
  }
  return sum;
}

constexpr auto token_kind = "token";
constexpr auto first_event_kind = "first_event";

}  // namespace

auto speed_learner::name_of(observation_source source) -> const char* {
  constexpr auto names = std::array<const char*, 5>{"first_event", "tokens", "response", "pending", "peer"};
  return names.at(static_cast<std::size_t>(source));
}

auto speed_learner::add(const upstream_pointer& target) -> void {
  by_incarnation_[hash_of_incarnation(target->entry_)] = target;
}

auto speed_learner::remove(const upstream& target) -> void {
  auto found = by_incarnation_.find(hash_of_incarnation(target.entry_));
  if (found != by_incarnation_.end() && found->second.get() == &target) {
    by_incarnation_.erase(found);
  }
}

auto speed_learner::track(upstream& target, request_progress progress) -> std::shared_ptr<request_progress> {
  auto tracked = std::make_shared<request_progress>(std::move(progress));
  auto load = target.running_ + target.running_elsewhere_;
  tracked->queued_ = load > static_cast<double>(target.entry_.slots_);
  record_sent(*tracked);
  target.progress_.push_back(tracked);
  return tracked;
}

auto speed_learner::record_sent(request_progress& progress) const -> void {
  progress.sent_at_ = clock_->now();
  progress.pending_checked_ = progress.sent_at_;
}

auto speed_learner::load_factor(const upstream& target) -> double {
  auto slots = static_cast<double>(std::max<std::int64_t>(target.entry_.slots_, 1));
  auto load = std::clamp(target.running_ + target.running_elsewhere_, 1.0, slots);
  return 1 + step_growth_per_stream * (load - 1);
}

auto speed_learner::record_tokens(upstream& target, request_progress& progress, double tokens) -> void {
  auto now = clock_->now();
  if (!std::exchange(progress.started_, true)) {
    progress.window_start_ = now;
    progress.last_tokens_at_ = now;
    progress.pending_checked_ = now;
    if (!progress.queued_ && !progress.resumed_) {
      observe(target, first_event_kind, static_cast<double>(now - progress.sent_at_),
              progress.uncached_tokens_ + fixed_work_tokens, first_event_share,
              observation_source::first_event);
    }
    return;
  }
  auto gap = now - std::exchange(progress.last_tokens_at_, now);
  if (gap > 0 || progress.gaps_.empty()) {
    progress.gaps_.push_back({static_cast<double>(gap), tokens});
  } else {
    progress.gaps_.back().tokens_ += tokens;
  }
  if (now - progress.window_start_ >= token_window_ms) {
    observe_window(target, progress);
  }
}

auto speed_learner::observe_window(upstream& target, request_progress& progress) -> void {
  auto now = clock_->now();
  auto duration = now - progress.window_start_;
  auto blocked = static_cast<double>(std::exchange(progress.blocked_, 0));
  auto typical = typical_gap(std::exchange(progress.gaps_, {}));
  progress.window_start_ = now;
  progress.pending_checked_ = now;
  auto long_enough = duration >= token_window_ms || typical.tokens_ >= min_window_tokens;
  if (!long_enough || duration < min_window_ms || typical.duration_ <= 0 ||
      blocked > max_blocked_share * static_cast<double>(duration)) {
    return;
  }
  auto share = std::min(1.0, static_cast<double>(duration) / static_cast<double>(token_window_ms));
  observe(target, token_kind, typical.duration_, typical.tokens_ * load_factor(target), share,
          observation_source::tokens);
}

auto speed_learner::record_end(upstream& target, request_progress& progress, bool complete) -> void {
  auto ended = [&](const std::weak_ptr<request_progress>& entry) {
    auto tracked = entry.lock();
    return !tracked || tracked.get() == &progress;
  };
  target.progress_.erase(std::remove_if(target.progress_.begin(), target.progress_.end(), ended),
                         target.progress_.end());
  if (!complete) {
    return;
  }
  if (progress.streams_) {
    observe_window(target, progress);
  } else if (!progress.queued_) {
    observe(target, response_kind(progress), static_cast<double>(clock_->now() - progress.sent_at_), 1, 1,
            observation_source::response);
  }
}

auto speed_learner::record_pending(upstream& target) -> void {
  for (const auto& entry : target.progress_) {
    auto progress = entry.lock();
    if (progress && clock_->now() - progress->pending_checked_ >= token_window_ms) {
      observe_pending(target, *progress);
    }
  }
}

auto speed_learner::observe_pending(upstream& target, request_progress& progress) -> void {
  auto now = clock_->now();
  auto waited = static_cast<double>(now - (progress.started_ ? progress.last_tokens_at_ : progress.sent_at_));
  auto observation = std::optional<speed_observation>{};
  if (progress.started_ && progress.blocked_ == 0) {
    observation = speed_observation{std::log(waited / longest_pause_ms), pause_weight};
  }
  if (!progress.started_ && !progress.queued_ && !progress.resumed_) {
    auto kind = progress.streams_ ? std::string{first_event_kind} : response_kind(progress);
    auto nominal = progress.streams_ ? progress.uncached_tokens_ + fixed_work_tokens : 1;
    observation = paces_[target.entry_.service_].compare(kind, waited, nominal);
  }
  auto known = target.speed_ ? target.speed_->log_slowness(now) : 0;
  // The duration is at least as long as the wait, which tells something only if that exceeds the expectation.
  if (!observation || observation->log_ratio_ < known + std::log(pending_ratio)) {
    return;
  }
  progress.pending_checked_ = now;
  ++statistics_.own_observations_;
  apply_observation(target, *observation, observation_source::pending);
}

auto speed_learner::observe(upstream& target, const std::string& kind, double duration, double nominal,
                            double share, observation_source source) -> void {
  auto now = clock_->now();
  auto& pace = paces_[target.entry_.service_];
  auto observation = pace.compare(kind, duration, nominal);
  auto known = target.speed_ ? target.speed_->log_slowness(now) : 0;
  pace.record(kind, duration, nominal, known, target.entry_.id_);
  if (observation) {
    observation->weight_ *= share;
    ++statistics_.own_observations_;
    apply_observation(target, *observation, source);
  }
}

auto speed_learner::apply_observation(upstream& target, const speed_observation& observation,
                                      observation_source source) -> void {
  auto now = clock_->now();
  if (!target.listed_) {
    return;
  }
  if (!target.speed_) {
    target.speed_ = std::make_shared<upstream_speed>();
    measured_.push_back(target.weak_from_this());
  }
  auto first_own = now - target.speed_->own_observed_at() > report_age_ms;
  if (observation.observer_ == 0 && (target.speed_->own_observed_at() == 0 || first_own)) {
    own_recent_.push_back(target.weak_from_this());
  }
  auto confirmed = target.speed_->record(observation, now);
  refresh_means();
  update_distinct(target, confirmed);
  log_change(target, observation, source);
}

auto speed_learner::log_change(upstream& target, const speed_observation& observation,
                               observation_source source) -> void {
  auto now = clock_->now();
  auto current = slowness(target);
  auto change = std::abs(std::log(current / target.logged_slowness_));
  if (change < std::log(notable_ratio) || now - target.slowness_logged_at_ < log_interval_ms) {
    return;
  }
  ++statistics_.changes_;
  if (now - logging_since_ >= log_interval_ms) {
    logging_since_ = now;
    logged_ = 0;
  }
  if (++logged_ > max_logged) {
    return;
  }
  auto own_at = target.speed_->own_observed_at();
  log_event(log_level::info, "upstream_speed_changed",
            {{"upstream", target.entry_.id_},
             {"born", target.entry_.born_},
             {"slowness", current},
             {"before", std::exchange(target.logged_slowness_, current)},
             {"weight", target.speed_->weight(now)},
             {"source", std::string{name_of(source)}},
             {"observed_ratio", std::exp(observation.log_ratio_)},
             {"own_age_ms", own_at == 0 ? milliseconds{-1} : now - own_at},
             {"service_mean", std::exp(means_[target.entry_.service_])},
             {"running", std::int64_t{target.running_}}});
  target.slowness_logged_at_ = now;
}

auto speed_learner::refresh_means() -> void {
  auto now = clock_->now();
  if (now - means_refreshed_at_ < mean_interval_ms) {
    return;
  }
  means_refreshed_at_ = now;
  auto weights = std::map<std::string, double>{};
  means_.clear();
  auto forgotten = [&](const std::weak_ptr<upstream>& entry) {
    auto target = entry.lock();
    if (!target || !target->listed_ || now - target->speed_->observed_at() > forget_after_ms) {
      if (target) {
        target->speed_.reset();
      }
      return true;
    }
    // The weight when it was last observed: an engine that gets no requests still counts for the mean.
    auto weight = target->speed_->weight(target->speed_->observed_at());
    means_[target->entry_.service_] += weight * target->speed_->last_log_slowness();
    weights[target->entry_.service_] += weight;
    return false;
  };
  measured_.erase(std::remove_if(measured_.begin(), measured_.end(), forgotten), measured_.end());
  for (auto& [service, mean] : means_) {
    mean /= weights[service] + mean_prior_weight;
  }
}

auto speed_learner::slowness(const upstream& target) const -> double {
  if (confidence(target) < min_confidence || !target.speed_->distinct()) {
    return 1;
  }
  auto estimate = std::exp(relative_log(target));
  return estimate >= min_distinct && estimate <= max_distinct ? 1 : estimate;
}

auto speed_learner::relative_log(const upstream& target) const -> double {
  auto mean = means_.find(target.entry_.service_);
  auto reference = mean == means_.end() ? 0 : mean->second;
  return target.speed_->log_slowness(clock_->now()) - reference;
}

auto speed_learner::update_distinct(upstream& target, bool confirmed) -> void {
  auto relative = relative_log(target);
  auto beyond = std::max(relative - std::log(max_distinct), std::log(min_distinct) - relative);
  auto margin = uncertainty / std::sqrt(std::max(confidence(target), min_confidence));
  auto certain = beyond > margin && (confirmed || confidence(target) >= distinct_weight);
  auto remains = target.speed_->distinct() && beyond > 0;
  target.speed_->set_distinct(certain || remains, clock_->now(), confirmed);
}

auto speed_learner::confidence(const upstream& target) const -> double {
  return target.speed_ ? target.speed_->weight(clock_->now()) : 0;
}

auto speed_learner::reports() -> std::vector<speed_report> {
  struct row {
    speed_report report_;
    bool changed_ = false;
    milliseconds observed_at_ = 0;
  };
  auto now = clock_->now();
  auto rows = std::vector<row>{};
  auto add_row = [&](const std::weak_ptr<upstream>& entry) {
    auto target = entry.lock();
    if (!target || !target->listed_ || !target->speed_ ||
        now - target->speed_->own_observed_at() > report_age_ms) {
      return true;
    }
    const auto& speed = *target->speed_;
    auto deviation = std::abs(speed.own_log_slowness() - speed.log_slowness(now));
    rows.push_back({{hash_of_incarnation(target->entry_), std::exp(speed.own_log_slowness()),
                     speed.own_weight(), speed.own_count()},
                    deviation >= std::log(changed_ratio),
                    speed.own_observed_at()});
    return false;
  };
  own_recent_.erase(std::remove_if(own_recent_.begin(), own_recent_.end(), add_row), own_recent_.end());
  std::stable_sort(rows.begin(), rows.end(), [](const row& left, const row& right) {
    return left.changed_ == right.changed_ ? left.observed_at_ > right.observed_at_ : left.changed_;
  });
  auto selected = std::vector<speed_report>{};
  for (auto index = std::size_t{0}; index < std::min(rows.size(), max_speed_reports); ++index) {
    selected.push_back(rows[index].report_);
  }
  return selected;
}

auto speed_learner::apply(const std::string& peer, const std::vector<speed_report>& reports) -> void {
  auto observer = std::max<std::uint64_t>(hash_of(peer), 1);
  for (const auto& report : reports) {
    auto found = by_incarnation_.find(report.incarnation_);
    if (found == by_incarnation_.end() || report.slowness_ <= 0 || report.weight_ <= 0) {
      continue;
    }
    ++statistics_.peer_observations_;
    apply_observation(*found->second, {std::log(report.slowness_), std::min(report.weight_, 1.0), observer},
                      observation_source::peer);
  }
}

}  // namespace birchlever

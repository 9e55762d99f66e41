/// Part of upstream_directory that selects an upstream for a request.
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <limits>

#include "birchlever/core/hashing.h"
#include "birchlever/upstream/speed_learner.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

constexpr auto retry_later_ms = milliseconds{300};

/// Returns an exponentially distributed number for a hash; a higher hash gives a lower number.
auto exponential_of(std::uint64_t hash) -> double {
  constexpr auto hash_range = 18446744073709551616.0;  // 2 to the power of 64.
  return -std::log((static_cast<double>(hash) + 1) / (hash_range + 1));
}

}  // namespace

auto upstream_directory::usable(const upstream& target, const upstream_criteria& criteria,
                                milliseconds now) const -> bool {
  const auto& models = target.entry_.models_;
  auto has_model = criteria.model_.empty() || models.empty() ||
                   std::find(models.begin(), models.end(), criteria.model_) != models.end();
  return target.accepts_requests() && has_model && criteria.regions_.allow(target.region_) &&
         target.has_send_window(criteria.cold_start_, now) &&
         criteria.excluded_.count(target.entry_.id_) == 0;
}

auto upstream_directory::candidates(const upstream_criteria& criteria) -> candidate_list {
  auto found = candidate_list{};
  auto entry = pools_.find(criteria.service_);
  if (entry == pools_.end()) {
    return found;
  }
  auto& pool = entry->second;
  auto now = settings_.clock_->now();
  auto avoided = std::vector<upstream_pointer>{};
  auto add_candidate = [&](const upstream_pointer& target) {
    if (usable(*target, criteria, now)) {
      (target->health_.avoided(now) ? avoided : found.usable_).push_back(target);
    }
  };
  for (const auto& target : pool.sample(settings_.data_hall_, criteria.seed_)) {
    add_candidate(target);
  }
  if (pool.sampled()) {
    for (const auto& target : {previous_upstream(criteria), affinity_upstream(criteria, pool)}) {
      auto skip =
          !target || std::find(found.usable_.begin(), found.usable_.end(), target) != found.usable_.end();
      if (!skip) {
        add_candidate(target);
      }
    }
    if (found.usable_.empty()) {  // The sample contained no healthy upstream; fall back to all.
      avoided.clear();
      for (const auto& target : pool.all()) {
        add_candidate(target);
      }
    }
  }
  found.healthy_count_ = found.usable_.size();
  found.usable_.insert(found.usable_.end(), avoided.begin(), avoided.end());
  return found;
}

auto upstream_directory::previous_upstream(const upstream_criteria& criteria) const -> upstream_pointer {
  if (criteria.last_upstream_.empty()) {
    return nullptr;
  }
  auto previous = find(id_of_incarnation(criteria.last_upstream_));
  auto same = previous && incarnation_of(previous->entry_) == criteria.last_upstream_;
  return same ? previous : nullptr;
}

auto upstream_directory::view_of(const upstream& target, const upstream_criteria& criteria) const
    -> engine_view {
  auto view = engine_view{};
  view.data_hall_ =
      target.entry_.data_hall_;  // Id and models are left empty: candidates are already filtered.
  view.capacity_ = static_cast<double>(std::max<std::int64_t>(target.entry_.slots_, 1));
  view.running_ = target.running_ + target.running_elsewhere_;
  view.connected_ = connection_check_ && connection_check_(target.entry_.address_);
  auto limit_reached = criteria.max_local_in_flight_ > 0 && target.running_ >= criteria.max_local_in_flight_;
  if (limit_reached || target.full_until_ > settings_.clock_->now()) {
    view.running_ = std::max(view.running_, view.capacity_);
  }
  if (speeds_) {
    view.queued_ = std::max(0.0, view.running_ - view.capacity_);
    view.running_ -= view.queued_;
    view.slowness_ = speeds_->slowness(target);
    view.speed_weight_ = speeds_->confidence(target);
  }
  view.cache_tokens_ = static_cast<double>(target.cache_.tokens());
  view.cache_capacity_ = static_cast<double>(std::max<std::int64_t>(criteria.cache_capacity_, 1));
  return view;
}

auto upstream_directory::affinity_upstream(const upstream_criteria& criteria, const upstream_pool& pool) const
    -> upstream_pointer {
  auto affinity = upstream_pointer{};
  if (criteria.affinity_key_.empty()) {
    return affinity;
  }
  auto now = settings_.clock_->now();
  auto seed = hash_of(criteria.affinity_key_);
  auto highest = std::uint64_t{0};
  auto shortest = std::numeric_limits<double>::infinity();
  auto affinity_by_speed = upstream_pointer{};
  auto speeds = std::set<double>{};
  for (const auto& target : pool.ring_candidates(criteria.affinity_key_)) {
    auto weight = hash_of(target->entry_.id_, seed);
    if (!usable(*target, criteria, now) || target->health_.avoided(now)) {
      continue;
    }
    if (weight >= highest) {
      highest = weight;
      affinity = target;
    }
    auto slowness = slowness_of(*target);
    auto distance = slowness * slowness * exponential_of(weight);
    speeds.insert(slowness);
    if (distance <= shortest) {
      shortest = distance;
      affinity_by_speed = target;
    }
  }
  // With different speeds, the shares of the upstreams are proportional to the squares of their speeds: the
  // slow ones would otherwise get as many programs as the fast ones.
  return speeds.size() > 1 ? affinity_by_speed : affinity;
}

auto upstream_directory::shared_prefix_tokens(const upstream_criteria& criteria) const -> std::int64_t {
  auto shared = shared_prefixes_.find(criteria.service_);
  if (shared == shared_prefixes_.end()) {
    return 0;
  }
  return shared->second.expected_cached_tokens(criteria.parts_, criteria.cache_capacity_,
                                               settings_.clock_->now());
}

auto upstream_directory::estimate_cached_tokens(const upstream_pointer& target,
                                                const upstream_criteria& criteria, std::int64_t shared,
                                                const upstream_pointer& affinity,
                                                const upstream_pointer& previous) const -> std::int64_t {
  auto cached = std::max(target->cache_.cached_prefix_tokens(criteria.parts_), shared);
  if (criteria.parts_.empty()) {
    return cached;
  }
  auto last_part_tokens = criteria.parts_.back().tokens_;
  if (target == affinity) {
    // Other daemons send this program's turns here, so assume the prefix is cached. The bonus of half the
    // last part makes first turns prefer this upstream unless others are much less loaded.
    cached = std::max(cached, criteria.prompt_tokens_ - last_part_tokens) + last_part_tokens / 2;
  }
  if (target == previous) {
    cached = std::max(cached, criteria.prompt_tokens_ - last_part_tokens);
  }
  return cached;
}

auto upstream_directory::choose(const policy_interface& policy, const upstream_criteria& criteria)
    -> result<upstream_choice> {
  auto found = candidates(criteria);
  auto& available = found.usable_;
  auto min_healthy = settings_.min_healthy_share_ * static_cast<double>(available.size());
  if (static_cast<double>(found.healthy_count_) >= min_healthy) {
    available.resize(found.healthy_count_);
  }
  if (available.empty()) {
    return error{error_code::no_upstream, "no upstream of the service is available for this request",
                 ran_state::not_run, retry_later_ms};
  }
  auto call = call_view{};
  call.data_hall_ = settings_.data_hall_;
  call.prompt_tokens_ = criteria.prompt_tokens_;
  call.max_tokens_ = criteria.max_tokens_;
  call.seed_ = criteria.seed_;
  auto views = std::vector<engine_view>{};
  views.reserve(available.size());
  call.cached_tokens_.reserve(available.size());
  auto affinity = affinity_upstream(criteria, pools_.at(criteria.service_));
  auto previous = previous_upstream(criteria);
  auto shared = shared_prefix_tokens(criteria);
  for (const auto& target : available) {
    views.push_back(view_of(*target, criteria));
    call.cached_tokens_.push_back(
        static_cast<double>(estimate_cached_tokens(target, criteria, shared, affinity, previous)));
  }
  auto decided = policy.choose(call, views);
  if (!ok(decided)) {
    return failure(decided);
  }
  auto chosen = upstream_choice{available[value(decided).engine_], available.size()};
  chosen.cached_tokens_ = static_cast<std::int64_t>(call.cached_tokens_[value(decided).engine_]);
  return chosen;
}

}  // namespace birchlever

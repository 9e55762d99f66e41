/// Part of upstream_directory that selects an upstream for a request.
#include <algorithm>
#include <initializer_list>

#include "birchlever/core/hashing.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

constexpr auto retry_later_ms = milliseconds{300};

}  // namespace

auto upstream_directory::usable(const upstream& one, const upstream_criteria& wish, milliseconds now) const
    -> bool {
  const auto& models = one.entry_.models_;
  auto has_model = wish.model_.empty() || models.empty() ||
                   std::find(models.begin(), models.end(), wish.model_) != models.end();
  return one.accepts_requests() && has_model && wish.regions_.allow(one.region_) &&
         one.has_send_window(wish.cold_start_, now) && wish.excluded_.count(one.entry_.id_) == 0;
}

auto upstream_directory::candidates(const upstream_criteria& wish) -> candidate_list {
  auto found = candidate_list{};
  auto known = pools_.find(wish.service_);
  if (known == pools_.end()) {
    return found;
  }
  auto& pool = known->second;
  auto now = settings_.clock_->now();
  auto avoided = std::vector<upstream_pointer>{};
  auto sort_in = [&](const upstream_pointer& one) {
    if (usable(*one, wish, now)) {
      (one->health_.avoided(now) ? avoided : found.usable_).push_back(one);
    }
  };
  for (const auto& one : pool.sample(settings_.data_hall_, wish.seed_)) {
    sort_in(one);
  }
  if (pool.sampled()) {
    for (const auto& one : {last_of(wish), home_of(wish, pool)}) {
      auto listed = !one || std::find(found.usable_.begin(), found.usable_.end(), one) != found.usable_.end();
      if (!listed) {
        sort_in(one);
      }
    }
    if (found.usable_.empty()) {  // The sample contained no healthy upstream; fall back to all.
      avoided.clear();
      for (const auto& one : pool.all()) {
        sort_in(one);
      }
    }
  }
  found.sound_ = found.usable_.size();
  found.usable_.insert(found.usable_.end(), avoided.begin(), avoided.end());
  return found;
}

auto upstream_directory::last_of(const upstream_criteria& wish) const -> upstream_pointer {
  if (wish.last_upstream_.empty()) {
    return nullptr;
  }
  auto last = find(id_of_incarnation(wish.last_upstream_));
  auto same = last && incarnation_of(last->entry_) == wish.last_upstream_;
  return same ? last : nullptr;
}

auto upstream_directory::view_of(const upstream& one, const upstream_criteria& wish) const -> engine_view {
  auto view = engine_view{};
  view.data_hall_ = one.entry_.data_hall_;  // Id and models are left empty: candidates are already filtered.
  view.capacity_ = static_cast<double>(std::max<std::int64_t>(one.entry_.slots_, 1));
  view.running_ = one.running_ + one.running_elsewhere_;
  view.connected_ = connected_ && connected_(one.entry_.address_);
  auto share_used = wish.max_local_in_flight_ > 0 && one.running_ >= wish.max_local_in_flight_;
  if (share_used || one.full_until_ > settings_.clock_->now()) {
    view.running_ = std::max(view.running_, view.capacity_);
  }
  view.cache_tokens_ = static_cast<double>(one.cache_.tokens());
  view.cache_capacity_ = static_cast<double>(std::max<std::int64_t>(wish.cache_capacity_, 1));
  return view;
}

auto upstream_directory::home_of(const upstream_criteria& wish, const upstream_pool& pool) const
    -> upstream_pointer {
  auto home = upstream_pointer{};
  if (wish.affinity_key_.empty()) {
    return home;
  }
  auto now = settings_.clock_->now();
  auto seed = hash_of(wish.affinity_key_);
  auto highest = std::uint64_t{0};
  for (const auto& one : pool.neighbours_of(wish.affinity_key_)) {
    auto weight = hash_of(one->entry_.id_, seed);
    if (weight >= highest && usable(*one, wish, now) && !one->health_.avoided(now)) {
      highest = weight;
      home = one;
    }
  }
  return home;
}

auto upstream_directory::common_tokens(const upstream_criteria& wish) const -> std::int64_t {
  auto common = common_.find(wish.service_);
  if (common == common_.end()) {
    return 0;
  }
  return common->second.expected_cached_tokens(wish.parts_, wish.cache_capacity_, settings_.clock_->now());
}

auto upstream_directory::held_tokens(const upstream_pointer& one, const upstream_criteria& wish,
                                     std::int64_t common, const upstream_pointer& home,
                                     const upstream_pointer& last) const -> std::int64_t {
  auto held = std::max(one->cache_.cached_prefix_tokens(wish.parts_), common);
  if (wish.parts_.empty()) {
    return held;
  }
  auto own = wish.parts_.back().tokens_;
  if (one == home) {
    // Other daemons send this program's turns here, so assume the prefix is cached. The bonus of half the
    // last part makes first turns prefer this upstream unless others are much less loaded.
    held = std::max(held, wish.prompt_tokens_ - own) + own / 2;
  }
  if (one == last) {
    held = std::max(held, wish.prompt_tokens_ - own);
  }
  return held;
}

auto upstream_directory::choose(const policy_interface& policy, const upstream_criteria& wish)
    -> result<upstream_choice> {
  auto found = candidates(wish);
  auto& fitting = found.usable_;
  auto enough = settings_.min_healthy_share_ * static_cast<double>(fitting.size());
  if (static_cast<double>(found.sound_) >= enough) {
    fitting.resize(found.sound_);
  }
  if (fitting.empty()) {
    return error{error_code::no_upstream, "no upstream of the service is available for this request",
                 ran_state::not_run, retry_later_ms};
  }
  auto call = call_view{};
  call.data_hall_ = settings_.data_hall_;
  call.prompt_tokens_ = wish.prompt_tokens_;
  call.max_tokens_ = wish.max_tokens_;
  call.seed_ = wish.seed_;
  auto views = std::vector<engine_view>{};
  views.reserve(fitting.size());
  call.cached_tokens_.reserve(fitting.size());
  auto home = home_of(wish, pools_.at(wish.service_));
  auto last = last_of(wish);
  auto common = common_tokens(wish);
  for (const auto& one : fitting) {
    views.push_back(view_of(*one, wish));
    call.cached_tokens_.push_back(static_cast<double>(held_tokens(one, wish, common, home, last)));
  }
  auto made = policy.choose(call, views);
  if (!ok(made)) {
    return failure(made);
  }
  auto chosen = upstream_choice{fitting[value(made).engine_], fitting.size()};
  chosen.cached_tokens_ = static_cast<std::int64_t>(call.cached_tokens_[value(made).engine_]);
  return chosen;
}

}  // namespace birchlever

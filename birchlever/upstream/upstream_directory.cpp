#include "birchlever/upstream/upstream_directory.h"

#include <algorithm>
#include <functional>
#include <initializer_list>

#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto jitter_steps = 1000U;
constexpr auto retry_later_ms = milliseconds{300};

}  // namespace

upstream_directory::upstream_directory(upstream_directory_settings settings)
    : settings_{std::move(settings)} {}

auto upstream_directory::put(upstream_entry entry, bool announced) -> void {
  auto known = find(entry.id_);
  if (!known) {
    insert(std::move(entry), announced);
  } else if (entry.born_ < known->entry_.born_) {
    log_event(log_level::info, "upstream_entry_late",
              {{"upstream", entry.id_}, {"born", entry.born_}, {"known", known->entry_.born_}});
  } else if (entry.born_ > known->entry_.born_ && known->entry_.born_ != 0) {
    log_event(log_level::info, "upstream_started_again",
              {{"upstream", entry.id_}, {"born", entry.born_}, {"before", known->entry_.born_}});
    drop(known);
    insert(std::move(entry), announced);
    for (const auto& [number, callback] : std::exchange(known->replaced_, {})) {
      callback();
    }
  } else {
    change(known, std::move(entry));
  }
}

auto upstream_directory::insert(upstream_entry entry, bool announced) -> void {
  auto draw = hash_of(entry.id_, settings_.jitter_seed_) % jitter_steps;
  auto phase = static_cast<double>(draw) / jitter_steps;
  auto made = std::make_shared<upstream>(std::move(entry), upstream_health{settings_.health_, phase}, phase);
  const auto& known = made->entry_;
  made->region_ = settings_.regions_.region_of(known.data_hall_);
  made->hall_closed_ = closed_halls_.count(known.data_hall_) != 0;
  note_cold(*made);
  if (announced) {
    log_event(log_level::info, "upstream_listed",
              {{"upstream", known.id_},
               {"service", known.service_},
               {"address", known.address_.address().to_string()},
               {"leaving", known.leaving_},
               {"cold_ms", known.cold_left_}});
  }
  pools_.try_emplace(known.service_, settings_.pools_).first->second.add(made);
  upstreams_[known.id_] = std::move(made);
}

auto upstream_directory::note_cold(upstream& one) const -> void {
  one.cold_until_ = one.entry_.cold_left_ > 0 ? settings_.clock_->now() + one.entry_.cold_left_ : 0;
}

auto upstream_directory::change(const upstream_pointer& known, upstream_entry entry) -> void {
  auto moved = known->entry_.service_ != entry.service_ || known->entry_.data_hall_ != entry.data_hall_;
  auto was_cold = known->entry_.cold_left_ > 0;
  if (known->entry_.leaving_ != entry.leaving_ || was_cold != (entry.cold_left_ > 0)) {
    log_event(log_level::info, "upstream_changed",
              {{"upstream", entry.id_}, {"leaving", entry.leaving_}, {"cold_ms", entry.cold_left_}});
  }
  if (moved) {
    drop(known);
    insert(std::move(entry), true);
    return;
  }
  known->entry_ = std::move(entry);
  note_cold(*known);
}

auto upstream_directory::drop(const upstream_pointer& one) -> void {
  one->listed_ = false;
  pools_.at(one->entry_.service_).remove(one);
  upstreams_.erase(one->entry_.id_);
}

auto upstream_directory::remove(const std::string& id) -> void {
  auto known = find(id);
  if (!known) {
    return;
  }
  log_event(log_level::info, "upstream_gone", {{"upstream", id}});
  drop(known);
}

auto upstream_directory::close_halls(std::set<std::string> halls) -> void {
  closed_halls_ = std::move(halls);
  for (const auto& [id, one] : upstreams_) {
    auto closed = closed_halls_.count(one->entry_.data_hall_) != 0;
    if (std::exchange(one->hall_closed_, closed) && !closed) {
      one->hall_opened_at_ = settings_.clock_->now();  // It may have been started anew meanwhile.
    }
  }
}

auto upstream_directory::ids() const -> std::vector<std::string> {
  auto all = std::vector<std::string>{};
  for (const auto& [id, one] : upstreams_) {
    all.push_back(id);
  }
  return all;
}

auto upstream_directory::find(const std::string& id) const -> upstream_pointer {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

auto upstream_directory::usable(const upstream& one, const upstream_wish& wish, milliseconds now) const
    -> bool {
  const auto& models = one.entry_.models_;
  auto has_model = wish.model_.empty() || models.empty() ||
                   std::find(models.begin(), models.end(), wish.model_) != models.end();
  return one.takes_requests() && has_model && wish.regions_.allow(one.region_) &&
         one.has_turn(wish.cold_start_, now) && wish.excluded_.count(one.entry_.id_) == 0;
}

auto upstream_directory::candidates(const upstream_wish& wish) -> candidate_list {
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
    if (found.usable_.empty()) {  // A sample that met none says nothing of the others.
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

auto upstream_directory::last_of(const upstream_wish& wish) const -> upstream_pointer {
  if (wish.last_upstream_.empty()) {
    return nullptr;
  }
  auto last = find(id_of_incarnation(wish.last_upstream_));
  auto same = last && incarnation_of(last->entry_) == wish.last_upstream_;
  return same ? last : nullptr;
}

auto upstream_directory::view_of(const upstream& one, const upstream_wish& wish) const -> engine_view {
  auto view = engine_view{};
  view.data_hall_ = one.entry_.data_hall_;  // Neither id nor models: those that do not fit were left out.
  view.capacity_ = static_cast<double>(std::max<std::int64_t>(one.entry_.slots_, 1));
  view.running_ = one.running_ + one.running_elsewhere_;
  view.connected_ = connected_ && connected_(one.entry_.address_);
  auto share_used = wish.most_here_ > 0 && one.running_ >= wish.most_here_;
  if (share_used || one.full_until_ > settings_.clock_->now()) {
    view.running_ = std::max(view.running_, view.capacity_);
  }
  view.cache_tokens_ = static_cast<double>(one.cache_.tokens());
  view.cache_capacity_ = static_cast<double>(std::max<std::int64_t>(wish.cache_room_, 1));
  return view;
}

auto upstream_directory::home_of(const upstream_wish& wish, const upstream_pool& pool) const
    -> upstream_pointer {
  auto home = upstream_pointer{};
  if (wish.home_subject_.empty()) {
    return home;
  }
  auto now = settings_.clock_->now();
  auto seed = hash_of(wish.home_subject_);
  auto highest = std::uint64_t{0};
  for (const auto& one : pool.neighbours_of(wish.home_subject_)) {
    auto weight = hash_of(one->entry_.id_, seed);
    if (weight >= highest && usable(*one, wish, now) && !one->health_.avoided(now)) {
      highest = weight;
      home = one;
    }
  }
  return home;
}

auto upstream_directory::common_tokens(const upstream_wish& wish) const -> std::int64_t {
  auto common = common_.find(wish.service_);
  if (common == common_.end()) {
    return 0;
  }
  return common->second.expected_tokens(wish.parts_, wish.cache_room_, settings_.clock_->now());
}

auto upstream_directory::held_tokens(const upstream_pointer& one, const upstream_wish& wish,
                                     std::int64_t common, const upstream_pointer& home,
                                     const upstream_pointer& last) const -> std::int64_t {
  auto held = std::max(one->cache_.held(wish.parts_), common);
  if (wish.parts_.empty()) {
    return held;
  }
  auto own = wish.parts_.back().tokens_;
  if (one == home) {
    // Where other daemons sent this program's turns; a first turn goes there unless others are much freer.
    held = std::max(held, wish.prompt_tokens_ - own) + own / 2;
  }
  if (one == last) {
    held = std::max(held, wish.prompt_tokens_ - own);
  }
  return held;
}

auto upstream_directory::choose(const policy_interface& policy, const upstream_wish& wish)
    -> result<upstream_choice> {
  auto found = candidates(wish);
  auto& fitting = found.usable_;
  auto enough = settings_.least_kept_share_ * static_cast<double>(fitting.size());
  if (static_cast<double>(found.sound_) >= enough) {
    fitting.resize(found.sound_);
  }
  if (fitting.empty()) {
    return error{error_code::no_upstream, "no upstream of the service takes this request now",
                 ran_state::not_run, retry_later_ms};
  }
  auto call = call_view{};
  call.data_hall_ = settings_.data_hall_;
  call.prompt_tokens_ = wish.prompt_tokens_;
  call.max_tokens_ = wish.most_tokens_;
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
  chosen.held_tokens_ = static_cast<std::int64_t>(call.cached_tokens_[value(made).engine_]);
  return chosen;
}

auto upstream_directory::begin(upstream& one, const upstream_wish& wish) -> milliseconds {
  auto now = settings_.clock_->now();
  if (++one.running_ == 1) {
    busy_.push_back(one.shared_from_this());
  }
  one.health_.note_sent(now);
  if (one.cold(wish.cold_start_, now)) {
    one.used_turn_ = cold_start_turn_at(wish.cold_start_, one.phase_, now).number_;
  }
  if (one.listed_) {
    pools_.at(one.entry_.service_).note_used(one.shared_from_this());
  }
  if (!wish.parts_.empty()) {
    auto held = std::max(one.cache_.held(wish.parts_), common_tokens(wish));
    common_[wish.service_].note(wish.program_, wish.parts_, wish.prompt_tokens_ - held, now);
    one.cache_.set_room(wish.cache_room_);
    one.cache_.used(wish.parts_);
  }
  return now;
}

auto upstream_directory::answered(upstream& one, milliseconds began) -> void {
  auto now = settings_.clock_->now();
  link_.note_answer(one.entry_.id_, began, now);
  if (std::exchange(link_blamed_, false)) {
    log_event(log_level::info, "link_answers_again", {{"upstream", one.entry_.id_}});
  }
  one.health_.note_answered(began, now);
}

auto upstream_directory::end(upstream& one, milliseconds began, upstream_evidence evidence) -> void {
  if (--one.running_ == 0) {
    note_idle(one);
  }
  one.health_.note_given_up(began);
  auto now = settings_.clock_->now();
  switch (evidence) {
    case upstream_evidence::full:
      one.full_until_ = now + settings_.full_memory_;
      break;
    case upstream_evidence::served:
      take_success(one, now);
      break;
    case upstream_evidence::failed:
      take_failure(one, began, now);
      break;
    case upstream_evidence::none:
      break;
  }
}

auto upstream_directory::note_idle(const upstream& one) -> void {
  auto is_it = [&one](const upstream_pointer& busy) { return busy.get() == &one; };
  busy_.erase(std::remove_if(busy_.begin(), busy_.end(), is_it), busy_.end());
}

auto upstream_directory::take_success(upstream& one, milliseconds now) -> void {
  auto suspected = one.health_.suspected(now);
  auto was_avoided = one.health_.note_success();
  if (was_avoided) {
    log_event(log_level::info, "upstream_serves_again", {{"upstream", one.entry_.id_}});
  }
  if (was_avoided || suspected) {
    tell(one, false);
  }
}

auto upstream_directory::take_failure(upstream& one, milliseconds began, milliseconds now) -> void {
  link_.note_failure(one.entry_.id_, now);
  auto link = link_.verdict_on(one.entry_.id_, began, now);
  if (link == link_verdict::at_fault) {
    forgive_unanswered();
  }
  if (one.health_.note_failure(now, link)) {
    log_avoided(one, "failures", now);
  }
  if (link == link_verdict::sound) {
    tell(one, true);  // What the own link explains is no news of the upstream.
  }
}

auto upstream_directory::forgive_unanswered() -> void {
  auto failing = static_cast<std::int64_t>(link_.failed_unanswered().size());
  if (!std::exchange(link_blamed_, true)) {
    log_event(log_level::warning, "link_at_fault", {{"upstreams_failing", failing}});
  }
  for (const auto& id : link_.failed_unanswered()) {
    if (auto blamed = find(id)) {
      blamed->health_.forgive();
    }
  }
}

auto upstream_directory::hear(const std::string& peer, const upstream_news& news) -> void {
  auto one = find(news.id_);
  if (!one || one->entry_.born_ != news.born_) {
    return;  // What another start of it did is no evidence on this one.
  }
  auto now = settings_.clock_->now();
  if (!news.failed_) {
    one->health_.note_success();
  } else if (one->health_.note_peer_failure(peer, now)) {
    log_avoided(*one, "peer", now);
  }
}

auto upstream_directory::find_stalled() -> void {
  auto now = settings_.clock_->now();
  for (const auto& one : busy_) {  // Of the others nothing is awaited.
    auto silent = link_.verdict_on(one->entry_.id_, now, now) == link_verdict::sound &&
                  one->health_.note_stall(now, link_.sound_since());
    if (silent) {
      log_avoided(*one, "silence", now);
      tell(*one, true);
    }
  }
}

auto upstream_directory::tell(const upstream& one, bool failed) -> void {
  if (on_news_ && one.listed_) {
    on_news_({one.entry_.id_, failed, one.entry_.born_});
  }
}

auto upstream_directory::log_avoided(const upstream& one, const char* cause, milliseconds now) -> void {
  log_event(log_level::warning, "upstream_avoided",
            {{"upstream", one.entry_.id_},
             {"cause", std::string{cause}},
             {"weight", std::int64_t{one.health_.weight()}},
             {"for_ms", one.health_.avoid_until() - now}});
}

auto upstream_directory::set_running_elsewhere(const std::string& id, double running) -> void {
  if (auto one = find(id)) {
    one->running_elsewhere_ = running;
    busy_elsewhere_.push_back(std::move(one));
  }
}

auto upstream_directory::set_running_elsewhere(const std::unordered_map<std::string, double>& running)
    -> void {
  for (const auto& one : std::exchange(busy_elsewhere_, {})) {
    one->running_elsewhere_ = 0;
  }
  for (const auto& [id, count] : running) {
    set_running_elsewhere(id, count);
  }
}

auto upstream_directory::each(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& [id, one] : upstreams_) {
    visit(*one);
  }
}

auto upstream_directory::each_busy(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& one : busy_) {
    visit(*one);
  }
}

}  // namespace birchlever

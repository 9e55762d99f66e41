#include "birchlever/upstream/upstream_directory.h"

#include <algorithm>
#include <functional>
#include <sstream>

#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto jitter_steps = 1000U;
constexpr auto retry_later_ms = milliseconds{300};

}  // namespace

auto meaning_of(const upstream_entry& entry) -> std::string {
  auto text = std::ostringstream{};
  text << entry.id_ << '|' << entry.service_ << '|' << entry.address_ << '|' << entry.data_hall_ << '|'
       << entry.slots_ << '|' << entry.leaving_;
  for (const auto& model : entry.models_) {
    text << '|' << model;
  }
  return text.str();
}

upstream_directory::upstream_directory(upstream_directory_settings settings)
    : settings_{std::move(settings)} {}

auto upstream_directory::put(upstream_entry entry) -> void {
  auto& known = upstreams_[entry.id_];
  if (!known) {
    auto draw = hash_of(entry.id_, settings_.jitter_seed_) % jitter_steps;
    auto health = upstream_health{settings_.health_, static_cast<double>(draw) / jitter_steps};
    known = std::make_shared<upstream>(std::move(entry), std::move(health));
    log_event(log_level::info, "upstream_listed",
              {{"upstream", known->entry_.id_},
               {"service", known->entry_.service_},
               {"address", known->entry_.address_.address().to_string()},
               {"leaving", known->entry_.leaving_}});
    return;
  }
  if (known->entry_.leaving_ != entry.leaving_) {
    log_event(log_level::info, "upstream_changed", {{"upstream", entry.id_}, {"leaving", entry.leaving_}});
  }
  known->entry_ = std::move(entry);
}

auto upstream_directory::remove(const std::string& id) -> void {
  auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  log_event(log_level::info, "upstream_gone", {{"upstream", id}});
  found->second->listed_ = false;
  upstreams_.erase(found);
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

auto upstream_directory::candidates(const upstream_wish& wish, bool also_avoided) const
    -> std::vector<upstream_pointer> {
  auto now = settings_.clock_->now();
  auto fitting = std::vector<upstream_pointer>{};
  for (const auto& [id, one] : upstreams_) {
    const auto& models = one->entry_.models_;
    auto has_model = wish.model_.empty() || models.empty() ||
                     std::find(models.begin(), models.end(), wish.model_) != models.end();
    auto usable = one->entry_.service_ == wish.service_ && !one->entry_.leaving_ && has_model &&
                  wish.excluded_.count(id) == 0;
    if (usable && (also_avoided || !one->health_.avoided(now))) {
      fitting.push_back(one);
    }
  }
  return fitting;
}

auto upstream_directory::view_of(const upstream& one, const upstream_wish& wish) const -> engine_view {
  auto view = engine_view{};
  view.id_ = one.entry_.id_;
  view.data_hall_ = one.entry_.data_hall_;
  view.models_ = one.entry_.models_;
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

auto upstream_directory::home_of(const upstream_wish& wish, const std::vector<upstream_pointer>& fitting)
    -> upstream_pointer {
  auto home = upstream_pointer{};
  auto highest = std::uint64_t{0};
  for (const auto& one : fitting) {
    auto weight = hash_of(one->entry_.id_, hash_of(wish.home_subject_));
    if (!wish.home_subject_.empty() && weight >= highest) {
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

auto upstream_directory::choose(const policy_interface& policy, const upstream_wish& wish)
    -> result<upstream_choice> {
  auto fitting = candidates(wish, false);
  auto all = candidates(wish, true);
  if (static_cast<double>(fitting.size()) < settings_.least_kept_share_ * static_cast<double>(all.size())) {
    fitting = std::move(all);
  }
  if (fitting.empty()) {
    return error{error_code::no_upstream, "no upstream of the service takes this request now",
                 ran_state::not_run, retry_later_ms};
  }
  auto call = call_view{};
  call.model_ = wish.model_;
  call.data_hall_ = settings_.data_hall_;
  call.prompt_tokens_ = wish.prompt_tokens_;
  call.max_tokens_ = wish.most_tokens_;
  call.seed_ = wish.seed_;
  auto views = std::vector<engine_view>{};
  auto home = home_of(wish, fitting);
  auto common = common_tokens(wish);
  for (const auto& one : fitting) {
    views.push_back(view_of(*one, wish));
    auto held = std::max(one->cache_.held(wish.parts_), common);
    if (one == home && !wish.parts_.empty()) {
      // Where other daemons sent this program's turns; a first turn goes there unless others are much freer.
      auto own = wish.parts_.back().tokens_;
      held = std::max(held, wish.prompt_tokens_ - own) + own / 2;
    }
    auto ran_last = one->entry_.id_ == wish.last_upstream_ && !wish.parts_.empty();
    if (ran_last) {
      held = std::max(held, wish.prompt_tokens_ - wish.parts_.back().tokens_);
    }
    call.cached_tokens_.push_back(static_cast<double>(held));
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
  ++one.running_;
  one.health_.note_sent(now);
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
  --one.running_;
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
  if (!one) {
    return;
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
  for (const auto& [id, one] : upstreams_) {
    auto silent = link_.verdict_on(id, now, now) == link_verdict::sound &&
                  one->health_.note_stall(now, link_.sound_since());
    if (silent) {
      log_avoided(*one, "silence", now);
      tell(*one, true);
    }
  }
}

auto upstream_directory::tell(const upstream& one, bool failed) -> void {
  if (on_news_) {
    on_news_({one.entry_.id_, failed});
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
  }
}

auto upstream_directory::set_running_elsewhere(const std::unordered_map<std::string, double>& running)
    -> void {
  for (const auto& [id, one] : upstreams_) {
    auto found = running.find(id);
    one->running_elsewhere_ = found == running.end() ? 0 : found->second;
  }
}

auto upstream_directory::each(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& [id, one] : upstreams_) {
    visit(*one);
  }
}

}  // namespace birchlever

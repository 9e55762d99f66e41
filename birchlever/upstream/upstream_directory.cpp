#include "birchlever/upstream/upstream_directory.h"

#include <algorithm>

#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto jitter_steps = 1000U;

}  // namespace

upstream_directory::upstream_directory(upstream_directory_settings settings)
    : settings_{std::move(settings)} {}

auto upstream_directory::put(upstream_entry entry, bool announced) -> void {
  auto known = find(entry.id_);
  if (!known) {
    insert(std::move(entry), announced);
  } else if (entry.born_ < known->entry_.born_) {
    log_event(log_level::info, "upstream_entry_outdated",
              {{"upstream", entry.id_}, {"born", entry.born_}, {"known", known->entry_.born_}});
  } else if (entry.born_ > known->entry_.born_ && known->entry_.born_ != 0) {
    log_event(log_level::info, "upstream_restarted",
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
  log_event(log_level::info, "upstream_removed", {{"upstream", id}});
  drop(known);
}

auto upstream_directory::close_halls(std::set<std::string> halls) -> void {
  closed_halls_ = std::move(halls);
  for (const auto& [id, one] : upstreams_) {
    auto closed = closed_halls_.count(one->entry_.data_hall_) != 0;
    if (std::exchange(one->hall_closed_, closed) && !closed) {
      one->hall_opened_at_ = settings_.clock_->now();  // It may have restarted while the hall was closed.
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

auto upstream_directory::record_sent(upstream& one, const upstream_criteria& wish) -> milliseconds {
  auto now = settings_.clock_->now();
  if (++one.running_ == 1) {
    busy_.push_back(one.shared_from_this());
  }
  one.health_.record_sent(now);
  if (one.cold(wish.cold_start_, now)) {
    one.used_turn_ = cold_start_window_at(wish.cold_start_, one.phase_, now).number_;
  }
  if (one.listed_) {
    pools_.at(one.entry_.service_).note_used(one.shared_from_this());
  }
  if (!wish.parts_.empty()) {
    auto held = std::max(one.cache_.cached_prefix_tokens(wish.parts_), common_tokens(wish));
    common_[wish.service_].record(wish.program_, wish.parts_, wish.prompt_tokens_ - held, now);
    one.cache_.set_capacity(wish.cache_capacity_);
    one.cache_.record_use(wish.parts_);
  }
  return now;
}

auto upstream_directory::record_response_started(upstream& one, milliseconds began) -> void {
  auto now = settings_.clock_->now();
  link_.record_response(one.entry_.id_, began, now);
  if (std::exchange(link_blamed_, false)) {
    log_event(log_level::info, "link_recovered", {{"upstream", one.entry_.id_}});
  }
  one.health_.record_response(began, now);
}

auto upstream_directory::record_finished(upstream& one, milliseconds began, upstream_outcome evidence)
    -> void {
  if (--one.running_ == 0) {
    note_idle(one);
  }
  one.health_.remove_pending(began);
  auto now = settings_.clock_->now();
  switch (evidence) {
    case upstream_outcome::full:
      one.full_until_ = now + settings_.full_duration_;
      break;
    case upstream_outcome::served:
      take_success(one, now);
      break;
    case upstream_outcome::failed:
      take_failure(one, began, now);
      break;
    case upstream_outcome::none:
      break;
  }
}

auto upstream_directory::note_idle(const upstream& one) -> void {
  auto is_it = [&one](const upstream_pointer& busy) { return busy.get() == &one; };
  busy_.erase(std::remove_if(busy_.begin(), busy_.end(), is_it), busy_.end());
}

auto upstream_directory::take_success(upstream& one, milliseconds now) -> void {
  auto suspected = one.health_.suspected(now);
  auto was_avoided = one.health_.record_success();
  if (was_avoided) {
    log_event(log_level::info, "upstream_recovered", {{"upstream", one.entry_.id_}});
  }
  if (was_avoided || suspected) {
    tell(one, false);
  }
}

auto upstream_directory::take_failure(upstream& one, milliseconds began, milliseconds now) -> void {
  link_.record_failure(one.entry_.id_, now);
  auto link = link_.status_for(one.entry_.id_, began, now);
  if (link == link_status::faulty) {
    forgive_unanswered();
  }
  if (one.health_.record_failure(now, link)) {
    log_avoided(one, "failures", now);
  }
  if (link == link_status::healthy) {
    tell(one, true);  // Failures caused by the local link are not reported.
  }
}

auto upstream_directory::forgive_unanswered() -> void {
  auto failing = static_cast<std::int64_t>(link_.failed_unanswered().size());
  if (!std::exchange(link_blamed_, true)) {
    log_event(log_level::warning, "link_faulty", {{"upstreams_failing", failing}});
  }
  for (const auto& id : link_.failed_unanswered()) {
    if (auto blamed = find(id)) {
      blamed->health_.clear_failures();
    }
  }
}

auto upstream_directory::apply_peer_report(const std::string& peer, const upstream_health_report& news)
    -> void {
  auto one = find(news.id_);
  if (!one || one->entry_.born_ != news.born_) {
    return;  // Reports about another incarnation do not apply.
  }
  auto now = settings_.clock_->now();
  if (!news.failed_) {
    one->health_.record_success();
  } else if (one->health_.record_peer_failure(peer, now)) {
    log_avoided(*one, "peer", now);
  }
}

auto upstream_directory::detect_stalled() -> void {
  auto now = settings_.clock_->now();
  for (const auto& one : busy_) {  // Only upstreams with requests in flight can stall.
    auto silent = link_.status_for(one->entry_.id_, now, now) == link_status::healthy &&
                  one->health_.detect_stall(now, link_.healthy_since());
    if (silent) {
      log_avoided(*one, "silence", now);
      tell(*one, true);
    }
  }
}

auto upstream_directory::tell(const upstream& one, bool failed) -> void {
  if (on_health_report_ && one.listed_) {
    on_health_report_({one.entry_.id_, failed, one.entry_.born_});
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

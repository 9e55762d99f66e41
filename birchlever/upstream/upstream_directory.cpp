#include "birchlever/upstream/upstream_directory.h"

#include <algorithm>

#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/upstream/speed_learner.h"

namespace birchlever {
namespace {

constexpr auto jitter_steps = 1000U;

}  // namespace

upstream_directory::upstream_directory(upstream_directory_settings settings)
    : settings_{std::move(settings)} {
  if (settings_.learn_speeds_) {
    speeds_ = std::make_shared<speed_learner>(settings_.clock_);
  }
}

auto upstream_directory::put(upstream_entry entry, bool announced) -> void {
  auto existing = find(entry.id_);
  if (!existing) {
    insert(std::move(entry), announced);
  } else if (entry.born_ < existing->entry_.born_) {
    log_event(log_level::info, "upstream_entry_outdated",
              {{"upstream", entry.id_}, {"born", entry.born_}, {"known", existing->entry_.born_}});
  } else if (entry.born_ > existing->entry_.born_ && existing->entry_.born_ != 0) {
    log_event(log_level::info, "upstream_restarted",
              {{"upstream", entry.id_}, {"born", entry.born_}, {"before", existing->entry_.born_}});
    drop(existing);
    insert(std::move(entry), announced);
    for (const auto& [number, callback] : std::exchange(existing->replacement_callbacks_, {})) {
      callback();
    }
  } else {
    change(existing, std::move(entry));
  }
}

auto upstream_directory::insert(upstream_entry entry, bool announced) -> void {
  auto hash = hash_of(entry.id_, settings_.jitter_seed_) % jitter_steps;
  auto phase = static_cast<double>(hash) / jitter_steps;
  auto inserted =
      std::make_shared<upstream>(std::move(entry), upstream_health{settings_.health_, phase}, phase);
  const auto& details = inserted->entry_;
  inserted->known_since_ = settings_.clock_->now();
  inserted->region_ = settings_.regions_.region_of(details.data_hall_);
  inserted->hall_closed_ = closed_halls_.count(details.data_hall_) != 0;
  update_cold_until(*inserted);
  if (announced) {
    log_event(log_level::info, "upstream_listed",
              {{"upstream", details.id_},
               {"service", details.service_},
               {"address", details.address_.address().to_string()},
               {"leaving", details.leaving_},
               {"cold_ms", details.cold_left_}});
  }
  if (speeds_) {
    speeds_->add(inserted);
  }
  pools_.try_emplace(details.service_, settings_.pools_).first->second.add(inserted);
  by_address_[details.address_] = inserted;
  upstreams_[details.id_] = std::move(inserted);
}

auto upstream_directory::update_cold_until(upstream& target) const -> void {
  target.cold_until_ = target.entry_.cold_left_ > 0 ? settings_.clock_->now() + target.entry_.cold_left_ : 0;
}

auto upstream_directory::change(const upstream_pointer& existing, upstream_entry entry) -> void {
  auto moved = existing->entry_.service_ != entry.service_ || existing->entry_.data_hall_ != entry.data_hall_;
  auto was_cold = existing->entry_.cold_left_ > 0;
  if (existing->entry_.leaving_ != entry.leaving_ || was_cold != (entry.cold_left_ > 0)) {
    log_event(log_level::info, "upstream_changed",
              {{"upstream", entry.id_}, {"leaving", entry.leaving_}, {"cold_ms", entry.cold_left_}});
  }
  if (moved) {
    drop(existing);
    insert(std::move(entry), true);
    return;
  }
  if (speeds_) {
    speeds_->remove(*existing);
  }
  auto address_changed = existing->entry_.address_ != entry.address_;
  if (address_changed) {
    forget_address(existing);
  }
  existing->entry_ = std::move(entry);
  if (address_changed) {
    by_address_[existing->entry_.address_] = existing;
  }
  if (speeds_) {
    speeds_->add(existing);
  }
  update_cold_until(*existing);
}

auto upstream_directory::drop(const upstream_pointer& target) -> void {
  target->listed_ = false;
  if (speeds_) {
    speeds_->remove(*target);
  }
  pools_.at(target->entry_.service_).remove(target);
  forget_address(target);
  upstreams_.erase(target->entry_.id_);
}

auto upstream_directory::forget_address(const upstream_pointer& target) -> void {
  auto known = by_address_.find(target->entry_.address_);
  if (known != by_address_.end() && known->second == target) {
    by_address_.erase(known);
  }
}

auto upstream_directory::remove(const std::string& id) -> void {
  auto existing = find(id);
  if (!existing) {
    return;
  }
  log_event(log_level::info, "upstream_removed", {{"upstream", id}});
  drop(existing);
}

auto upstream_directory::close_halls(std::set<std::string> halls) -> void {
  closed_halls_ = std::move(halls);
  for (const auto& [id, target] : upstreams_) {
    auto closed = closed_halls_.count(target->entry_.data_hall_) != 0;
    if (std::exchange(target->hall_closed_, closed) && !closed) {
      target->hall_opened_at_ = settings_.clock_->now();  // It may have restarted while the hall was closed.
    }
  }
}

auto upstream_directory::ids() const -> std::vector<std::string> {
  auto all = std::vector<std::string>{};
  for (const auto& [id, target] : upstreams_) {
    all.push_back(id);
  }
  return all;
}

auto upstream_directory::find(const std::string& id) const -> upstream_pointer {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

auto upstream_directory::find_at(const boost::asio::ip::tcp::endpoint& address) const -> upstream_pointer {
  auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

auto upstream_directory::record_sent(upstream& target, const upstream_criteria& criteria) -> milliseconds {
  auto now = settings_.clock_->now();
  if (++target.running_ == 1) {
    busy_.push_back(target.shared_from_this());
  }
  target.health_.record_sent(now);
  if (target.cold(criteria.cold_start_, now)) {
    target.last_window_ = cold_start_window_at(criteria.cold_start_, target.phase_, now).number_;
  }
  if (target.listed_) {
    pools_.at(target.entry_.service_).mark_used(target.shared_from_this());
  }
  if (!criteria.parts_.empty()) {
    auto cached =
        std::max(target.cache_.cached_prefix_tokens(criteria.parts_), shared_prefix_tokens(criteria));
    shared_prefixes_[criteria.service_].record(criteria.program_, criteria.parts_,
                                               criteria.prompt_tokens_ - cached, now);
    target.cache_.set_capacity(criteria.cache_capacity_);
    target.cache_.record_use(criteria.parts_);
  }
  return now;
}

auto upstream_directory::record_response_started(upstream& target, milliseconds sent_at) -> void {
  auto now = settings_.clock_->now();
  link_.record_response(target.entry_.id_, sent_at, now);
  if (std::exchange(link_faulty_, false)) {
    log_event(log_level::info, "link_recovered", {{"upstream", target.entry_.id_}});
  }
  target.health_.record_response(sent_at, now);
  auto& counters = counters_[target.entry_.service_];
  ++counters.responses_;
  counters.response_ms_ += now - sent_at;
}

auto upstream_directory::record_alive(upstream& target, milliseconds sent_at) -> void {
  target.health_.record_alive(sent_at);
}

auto upstream_directory::record_finished(upstream& target, milliseconds sent_at, upstream_outcome outcome)
    -> void {
  if (--target.running_ == 0) {
    remove_busy(target);
  }
  target.health_.remove_pending(sent_at);
  auto now = settings_.clock_->now();
  auto& counters = counters_[target.entry_.service_];
  ++counters.finished_;
  counters.refused_full_ += outcome == upstream_outcome::full ? 1 : 0;
  switch (outcome) {
    case upstream_outcome::full:
      target.full_until_ = now + settings_.full_duration_;
      break;
    case upstream_outcome::served:
      handle_success(target, now);
      break;
    case upstream_outcome::failed:
      handle_failure(target, sent_at, now);
      break;
    case upstream_outcome::none:
      break;
  }
}

auto upstream_directory::remove_busy(const upstream& target) -> void {
  auto is_target = [&target](const upstream_pointer& busy) { return busy.get() == &target; };
  busy_.erase(std::remove_if(busy_.begin(), busy_.end(), is_target), busy_.end());
}

auto upstream_directory::handle_success(upstream& target, milliseconds now) -> void {
  auto suspected = target.health_.suspected(now);
  auto was_avoided = target.health_.record_success();
  if (was_avoided) {
    log_event(log_level::info, "upstream_recovered", {{"upstream", target.entry_.id_}});
  }
  if (was_avoided || suspected) {
    report_health(target, false);
  }
}

auto upstream_directory::handle_failure(upstream& target, milliseconds sent_at, milliseconds now) -> void {
  link_.record_failure(target.entry_.id_, now);
  auto link = link_.status_for(target.entry_.id_, sent_at, now);
  if (link == link_status::faulty) {
    clear_unanswered_failures();
  }
  if (target.health_.record_failure(now, link)) {
    log_avoided(target, "failures", now);
  }
  if (link == link_status::healthy) {
    report_health(target, true);  // Failures caused by the local link are not reported.
  }
}

auto upstream_directory::clear_unanswered_failures() -> void {
  auto failing = static_cast<std::int64_t>(link_.failed_since_response().size());
  if (!std::exchange(link_faulty_, true)) {
    log_event(log_level::warning, "link_faulty", {{"upstreams_failing", failing}});
  }
  for (const auto& id : link_.failed_since_response()) {
    if (auto blamed = find(id)) {
      blamed->health_.clear_failures();
    }
  }
}

auto upstream_directory::apply_peer_report(const std::string& peer, const upstream_health_report& report)
    -> void {
  auto target = find(report.id_);
  if (!target || target->entry_.born_ != report.born_) {
    return;  // Reports about another incarnation do not apply.
  }
  auto now = settings_.clock_->now();
  if (!report.failed_) {
    target->health_.record_success();
  } else if (target->health_.record_peer_failure(peer, now)) {
    log_avoided(*target, "peer", now);
  }
}

auto upstream_directory::detect_stalled() -> void {
  auto now = settings_.clock_->now();
  for (const auto& target : busy_) {  // Only upstreams with requests in flight can stall.
    auto stalled = link_.status_for(target->entry_.id_, now, now) == link_status::healthy &&
                   target->health_.detect_stall(now, link_.healthy_since());
    if (stalled) {
      log_avoided(*target, "silence", now);
      report_health(*target, true);
    }
  }
}

auto upstream_directory::report_health(const upstream& target, bool failed) -> void {
  if (on_health_report_ && target.listed_) {
    on_health_report_({target.entry_.id_, failed, target.entry_.born_});
  }
}

auto upstream_directory::log_avoided(const upstream& target, const char* cause, milliseconds now) -> void {
  log_event(log_level::warning, "upstream_avoided",
            {{"upstream", target.entry_.id_},
             {"cause", std::string{cause}},
             {"weight", std::int64_t{target.health_.weight()}},
             {"for_ms", target.health_.avoid_until() - now}});
}

auto upstream_directory::set_running_elsewhere(const std::string& id, double running) -> void {
  if (auto target = find(id)) {
    target->running_elsewhere_ = running;
    busy_elsewhere_.push_back(std::move(target));
  }
}

auto upstream_directory::set_running_elsewhere(const std::unordered_map<std::string, double>& running)
    -> void {
  for (const auto& target : std::exchange(busy_elsewhere_, {})) {
    target->running_elsewhere_ = 0;
  }
  for (const auto& [id, count] : running) {
    set_running_elsewhere(id, count);
  }
}

auto upstream_directory::service_loads() const -> std::map<std::string, service_load> {
  auto loads = counters_;
  for (const auto& [service, pool] : pools_) {
    auto& load = loads[service];
    for (const auto& target : pool.all()) {
      if (!target->accepts_requests()) {
        continue;
      }
      load.slots_ += static_cast<double>(target->entry_.slots_);
      load.running_ += target->running_;
      load.running_elsewhere_ += target->running_elsewhere_;
    }
  }
  return loads;
}

auto upstream_directory::each(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& [id, target] : upstreams_) {
    visit(*target);
  }
}

auto upstream_directory::each_busy(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& target : busy_) {
    visit(*target);
  }
}

}  // namespace birchlever

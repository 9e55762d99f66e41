#include "fleet_model/daemon_group.h"

#include <algorithm>

#include "birchlever/core/hashing.h"

namespace birchlever::model {

daemon_group::daemon_group(const load_pattern& pattern, const upstream_park& upstreams, event_queue& events,
                           program_source& source, bool learn_speeds)
    : events_{&events}, source_{&source} {
  for (auto index = 0; index < pattern.daemons_; ++index) {
    auto vm = "vm-" + std::to_string(index);
    auto hall = hall_name(index, pattern);
    daemons_.push_back(std::make_unique<model_daemon>(vm, hall, hash_of(vm), exchange_.max_state_age_, events,
                                                      learn_speeds));
    auto& made = *daemons_.back();
    for (const auto& one : upstreams.all()) {
      made.directory_.put(one.entry_);
    }
    made.directory_.on_health_report(
        [this, index](const upstream_health_report& news) { tell(index, news); });
    auto phase = source.chance();
    events.after(phase * static_cast<double>(exchange_.send_interval_), [this, index] { say(index); });
    events.after(phase * look_gap_ms, [this, index] { look(index); });
  }
}

auto daemon_group::some() -> int {
  return static_cast<int>(source_->chance() * static_cast<double>(daemons_.size()));
}

auto daemon_group::cut(double share) -> void {
  auto cut_off = share * static_cast<double>(daemons_.size());
  for (auto index = std::size_t{0}; index < daemons_.size(); ++index) {
    daemons_[index]->cut_ = static_cast<double>(index) < cut_off;
  }
}

auto daemon_group::say(int speaker) -> void {
  auto said = at(speaker).describe();
  auto receivers = std::min(exchange_.max_receivers_, static_cast<int>(daemons_.size()) - 1);
  for (auto told = 0; told < receivers; ++told) {
    auto listener = some();
    events_->after(way_ms, [this, listener, said] { at(listener).views_.record_state(said); });
  }
  events_->after(static_cast<double>(exchange_.send_interval_), [this, speaker] { say(speaker); });
}

auto daemon_group::tell(int speaker, const upstream_health_report& news) -> void {
  auto& daemon = at(speaker);
  daemon.untold_.push_back(news);
  if (!std::exchange(daemon.telling_, true)) {
    auto since_last = events_->now_ms() - daemon.told_at_ms_;
    auto gap = std::max(static_cast<double>(exchange_.report_delay_),
                        static_cast<double>(exchange_.min_report_interval_) - since_last);
    events_->after(gap, [this, speaker] { send_news(speaker); });
  }
}

auto daemon_group::send_news(int speaker) -> void {
  auto& daemon = at(speaker);
  daemon.telling_ = false;
  daemon.told_at_ms_ = events_->now_ms();
  auto news = std::make_shared<std::vector<upstream_health_report>>(std::exchange(daemon.untold_, {}));
  auto share = static_cast<double>(exchange_.max_report_receivers_) / static_cast<double>(daemons_.size());
  for (auto listener = 0; listener < static_cast<int>(daemons_.size()); ++listener) {
    if (listener == speaker || source_->chance() >= share) {
      continue;
    }
    events_->after(way_ms, [this, speaker, listener, news] {
      for (const auto& one : *news) {
        at(listener).directory_.apply_peer_report(at(speaker).vm_, one);
      }
    });
  }
}

auto daemon_group::look(int index) -> void {
  at(index).take_views();
  at(index).directory_.detect_stalled();
  at(index).directory_.detect_slow();
  events_->after(look_gap_ms, [this, index] { look(index); });
}

}  // namespace birchlever::model

#include "fleet_model/upstream_park.h"

#include <algorithm>
#include <cmath>

namespace birchlever::model {
namespace {

auto engine_settings_of(const load_pattern& pattern) -> engine_model_settings {
  auto settings = engine_model_settings{};
  settings.slots_ = pattern.slots_;
  settings.queue_ = pattern.engine_queue_;
  settings.step_ms_ = pattern.step_ms_;
  settings.step_stream_ms_ = pattern.step_stream_ms_;
  settings.prefill_per_ms_ = pattern.prefill_per_ms_;
  settings.tokens_ = pattern.engine_tokens_;
  return settings;
}

constexpr auto speed_classes = 3;

auto speed_of(const load_pattern& pattern, int index) -> double {
  switch (index % speed_classes) {
    case 0:
      return pattern.slow_speed_;
    case 1:
      return 1;
    default:
      return pattern.fast_speed_;
  }
}

}  // namespace

upstream_park::upstream_park(const load_pattern& pattern, event_queue& events) {
  for (auto index = 0; index < pattern.engines_; ++index) {
    add(engine_service, hall_name(index, pattern), index, pattern.slots_,
        std::make_unique<engine_model>(events, engine_settings_of(pattern)), speed_of(pattern, index));
  }
  for (auto index = 0; index < pattern.services_; ++index) {
    add(tool_service, hall_name(index, pattern), index, pattern.service_slots_,
        std::make_unique<service_model>(events, pattern.service_slots_, pattern.service_queue_),
        speed_of(pattern, index));
  }
}

auto upstream_park::add(const char* service, const std::string& hall, int index, int slots,
                        std::unique_ptr<upstream_model> made, double speed) -> void {
  auto entry = upstream_entry{};
  entry.id_ = std::string{service} + "-" + std::to_string(index);
  entry.service_ = service;
  entry.data_hall_ = hall;
  entry.slots_ = slots;
  auto port = static_cast<std::uint16_t>(upstreams_.size() + 1);
  entry.address_ = {boost::asio::ip::address_v4::loopback(), port};
  index_[entry.id_] = upstreams_.size();
  made->set_speed(speed);
  upstreams_.push_back({std::move(entry), std::move(made)});
  upstreams_.back().speed_ = speed;
}

auto upstream_park::set_dead(const std::function<bool(const placed_upstream&, std::size_t)>& picked) -> void {
  for (auto index = std::size_t{0}; index < upstreams_.size(); ++index) {
    upstreams_[index].dead_ = picked(upstreams_[index], index);
  }
}

auto upstream_park::set_slow(double share, double factor) -> void {
  auto engines = 0;
  for (auto& one : upstreams_) {
    if (one.entry_.service_ != engine_service) {
      continue;
    }
    auto group = static_cast<double>(engines++ / speed_classes);
    auto slow = std::floor((group + 1) * share) > std::floor(group * share);
    one.model_->set_speed(slow ? one.speed_ / factor : one.speed_);
  }
}

auto upstream_park::set_lost_share(double share) -> void {
  for (auto& one : upstreams_) {
    one.lost_share_ = share;
  }
}

auto upstream_park::dead() const -> std::int64_t {
  return std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto& one) { return one.dead_; });
}

}  // namespace birchlever::model

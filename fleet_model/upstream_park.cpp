#include "fleet_model/upstream_park.h"

#include <algorithm>

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

}  // namespace

upstream_park::upstream_park(const load_pattern& pattern, event_queue& events) {
  for (auto index = 0; index < pattern.engines_; ++index) {
    add(engine_service, hall_name(index, pattern), index, pattern.slots_,
        std::make_unique<engine_model>(events, engine_settings_of(pattern)));
  }
  for (auto index = 0; index < pattern.services_; ++index) {
    add(tool_service, hall_name(index, pattern), index, pattern.service_slots_,
        std::make_unique<service_model>(events, pattern.service_slots_, pattern.service_queue_));
  }
}

auto upstream_park::add(const char* service, const std::string& hall, int index, int slots,
                        std::unique_ptr<upstream_model> made) -> void {
  auto entry = upstream_entry{};
  entry.id_ = std::string{service} + "-" + std::to_string(index);
  entry.service_ = service;
  entry.data_hall_ = hall;
  entry.slots_ = slots;
  auto port = static_cast<std::uint16_t>(upstreams_.size() + 1);
  entry.address_ = {boost::asio::ip::address_v4::loopback(), port};
  index_[entry.id_] = upstreams_.size();
  upstreams_.push_back({std::move(entry), std::move(made)});
}

auto upstream_park::set_dead(const std::function<bool(const placed_upstream&, std::size_t)>& picked) -> void {
  for (auto index = std::size_t{0}; index < upstreams_.size(); ++index) {
    upstreams_[index].dead_ = picked(upstreams_[index], index);
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

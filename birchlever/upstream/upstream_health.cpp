#include "birchlever/upstream/upstream_health.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto min_jitter = 0.75;  // Avoidance times are scaled by a factor from 0.75 to 1.25.
constexpr auto jitter_width = 0.5;
constexpr auto max_doublings = 6;

}  // namespace

auto upstream_health::avoid(milliseconds now) -> void {
  auto doublings = std::min(avoidances_++, max_doublings);
  avoidance_ = std::min(settings_.initial_avoidance_ << doublings, settings_.max_avoidance_);
  auto factor = min_jitter + jitter_width * jitter_;
  avoid_until_ = now + static_cast<milliseconds>(static_cast<double>(avoidance_) * factor);
}

auto upstream_health::reset_if_expired(milliseconds now) -> void {
  auto expiry = std::max(settings_.reset_after_, 2 * avoidance_);
  if (now - last_failure_at_ > expiry) {
    weight_ = 0;
    avoidances_ = 0;
    avoidance_ = 0;
    peers_.clear();
  }
}

auto upstream_health::add(int weight, milliseconds now) -> bool {
  weight_ += weight;
  last_failure_at_ = now;
  if (weight_ < settings_.avoidance_weight_) {
    return false;
  }
  avoid(now);
  return true;
}

auto upstream_health::record_failure(milliseconds now, link_status link) -> bool {
  if (avoided(now) || link == link_status::faulty) {
    return false;  // The request was sent before the avoidance, or the local link failed.
  }
  reset_if_expired(now);
  return add(settings_.local_weight_, now);
}

auto upstream_health::record_peer_failure(const std::string& peer, milliseconds now) -> bool {
  if (avoided(now)) {
    // Late in an avoidance, a peer has probed the upstream and failed: extend the avoidance without a probe.
    if (avoid_until_ - now <= avoidance_ / 2) {
      last_failure_at_ = now;
      avoid(now);
    }
    return false;
  }
  reset_if_expired(now);
  auto counted = std::find(peers_.begin(), peers_.end(), peer) != peers_.end();
  if (counted && avoidances_ == 0) {
    return false;
  }
  peers_.push_back(peer);
  return add(1, now);
}

auto upstream_health::suspected(milliseconds now) const -> bool {
  auto recent = now - last_failure_at_ <= settings_.reset_after_;
  return recent && weight_ + settings_.local_weight_ >= settings_.avoidance_weight_;
}

auto upstream_health::clear_failures() -> void {
  weight_ = 0;
  avoidances_ = 0;
  avoidance_ = 0;
  avoid_until_ = 0;
  peers_.clear();
}

auto upstream_health::record_success() -> bool {
  auto was_avoided = avoidances_ > 0;
  clear_failures();
  return was_avoided;
}

auto upstream_health::remove_pending(milliseconds sent_at) -> void {
  auto entry = pending_.find(sent_at);
  if (entry != pending_.end()) {
    pending_.erase(entry);
  }
}

auto upstream_health::record_response(milliseconds sent_at, milliseconds now) -> void {
  last_response_at_ = now;
  remove_pending(sent_at);
}

auto upstream_health::detect_stall(milliseconds now, milliseconds link_healthy_since) -> bool {
  auto oldest = pending_.lower_bound(link_healthy_since);
  auto stalled = oldest != pending_.end() && now - *oldest >= settings_.stall_timeout_ &&
                 now - last_response_at_ >= settings_.stall_timeout_ && !avoided(now);
  if (stalled) {
    weight_ = std::max(weight_, settings_.avoidance_weight_);
    last_failure_at_ = now;
    avoid(now);
  }
  return stalled;
}

}  // namespace birchlever

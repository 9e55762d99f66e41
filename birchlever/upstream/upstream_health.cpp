#include "birchlever/upstream/upstream_health.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto least_jitter = 0.75;  // An avoidance is drawn out to 75 to 125 % of its length.
constexpr auto jitter_width = 0.5;
constexpr auto most_doublings = 6;

}  // namespace

auto upstream_health::avoid(milliseconds now) -> void {
  auto doublings = std::min(failures_ - settings_.failures_until_avoided_, most_doublings);
  avoidance_ = std::min(settings_.first_avoidance_ << doublings, settings_.longest_avoidance_);
  auto factor = least_jitter + jitter_width * jitter_;
  avoid_until_ = now + static_cast<milliseconds>(static_cast<double>(avoidance_) * factor);
}

auto upstream_health::note_failure(milliseconds now) -> bool {
  if (avoided(now)) {
    return false;  // Of a request that was sent before the upstream was avoided; it tells nothing new.
  }
  auto quiet = std::max(settings_.forget_, 2 * avoidance_);
  if (now - failed_at_ > quiet) {
    failures_ = 0;
    avoidance_ = 0;
  }
  ++failures_;
  failed_at_ = now;
  if (failures_ < settings_.failures_until_avoided_) {
    return false;
  }
  avoid(now);
  return true;
}

auto upstream_health::note_success() -> bool {
  auto was_avoided = failures_ >= settings_.failures_until_avoided_;
  failures_ = 0;
  avoidance_ = 0;
  avoid_until_ = 0;
  return was_avoided;
}

auto upstream_health::note_given_up(milliseconds sent_at) -> void {
  auto place = waiting_.find(sent_at);
  if (place != waiting_.end()) {
    waiting_.erase(place);
  }
}

auto upstream_health::note_answered(milliseconds sent_at, milliseconds now) -> void {
  answered_at_ = now;
  note_given_up(sent_at);
}

auto upstream_health::note_stall(milliseconds now) -> bool {
  auto stalled = !waiting_.empty() && now - *waiting_.begin() >= settings_.stall_ &&
                 now - answered_at_ >= settings_.stall_ && !avoided(now);
  if (stalled) {
    failures_ = std::max(failures_ + 1, settings_.failures_until_avoided_);
    failed_at_ = now;
    avoid(now);
  }
  return stalled;
}

}  // namespace birchlever

#include "birchlever/upstream/local_link.h"

namespace birchlever {

auto local_link::record_response(const std::string& upstream, milliseconds sent_at, milliseconds now)
    -> void {
  auto response_overdue = now - last_response_.at_ > settings_.proof_duration_;
  auto request_waited = now - sent_at > settings_.proof_duration_;
  if (response_overdue && (request_waited || !failed_since_response_.empty())) {
    healthy_since_ = now;
  }
  if (upstream != last_response_.upstream_) {
    other_response_ = last_response_;
  }
  last_response_ = {upstream, now};
  failed_since_response_.clear();
}

auto local_link::record_failure(const std::string& upstream, milliseconds now) -> void {
  failed_since_response_.insert(upstream);
  while (!failures_.empty() && now - failures_.front().at_ > settings_.failure_window_) {
    failures_.pop_front();
  }
  failures_.push_back({upstream, now});
}

auto local_link::count_recent_failures(milliseconds now) const -> std::size_t {
  auto failing = std::set<std::string>{};
  for (const auto& entry : failures_) {
    if (now - entry.at_ <= settings_.failure_window_) {
      failing.insert(entry.upstream_);
    }
  }
  return failing.size();
}

auto local_link::status_for(const std::string& upstream, milliseconds sent_at, milliseconds now) const
    -> link_status {
  auto limit = static_cast<std::size_t>(settings_.max_failing_);
  if (sent_at < healthy_since_ || count_recent_failures(now) > limit ||
      failed_since_response_.size() > limit) {
    return link_status::faulty;
  }
  const auto& other = last_response_.upstream_ == upstream ? other_response_ : last_response_;
  auto proven = other.at_ > 0 && now - other.at_ <= settings_.proof_duration_;
  return proven ? link_status::healthy : link_status::unknown;
}

}  // namespace birchlever

#include "birchlever/upstream/local_link.h"

namespace birchlever {

auto local_link::record_response(const std::string& upstream, milliseconds sent_at, milliseconds now)
    -> void {
  auto silent = now - last_answer_.at_ > settings_.proof_duration_;
  auto waited_too = now - sent_at > settings_.proof_duration_;
  if (silent && (waited_too || !failed_unanswered_.empty())) {
    healthy_since_ = now;
  }
  if (upstream != last_answer_.upstream_) {
    answer_before_ = last_answer_;
  }
  last_answer_ = {upstream, now};
  failed_unanswered_.clear();
}

auto local_link::record_failure(const std::string& upstream, milliseconds now) -> void {
  failed_unanswered_.insert(upstream);
  while (!failures_.empty() && now - failures_.front().at_ > settings_.failure_window_) {
    failures_.pop_front();
  }
  failures_.push_back({upstream, now});
}

auto local_link::failing_at_once(milliseconds now) const -> std::size_t {
  auto failing = std::set<std::string>{};
  for (const auto& one : failures_) {
    if (now - one.at_ <= settings_.failure_window_) {
      failing.insert(one.upstream_);
    }
  }
  return failing.size();
}

auto local_link::status_for(const std::string& upstream, milliseconds sent_at, milliseconds now) const
    -> link_status {
  auto most = static_cast<std::size_t>(settings_.max_failing_);
  if (sent_at < healthy_since_ || failing_at_once(now) > most || failed_unanswered_.size() > most) {
    return link_status::faulty;
  }
  const auto& other = last_answer_.upstream_ == upstream ? answer_before_ : last_answer_;
  auto proven = other.at_ > 0 && now - other.at_ <= settings_.proof_duration_;
  return proven ? link_status::healthy : link_status::unknown;
}

}  // namespace birchlever

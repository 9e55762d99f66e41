/// Part of upstream_directory that observes the speeds of upstreams.
#include "birchlever/upstream/speed_learner.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

auto upstream_directory::track(upstream& target, request_progress progress)
    -> std::shared_ptr<request_progress> {
  return speeds_ ? speeds_->track(target, std::move(progress)) : nullptr;
}

auto upstream_directory::record_transmission(const std::shared_ptr<request_progress>& progress) -> void {
  if (progress) {
    speeds_->record_sent(*progress);
  }
}

auto upstream_directory::record_tokens(upstream& target, const std::shared_ptr<request_progress>& progress,
                                       double tokens, milliseconds blocked) -> void {
  if (progress) {
    progress->blocked_ += blocked;
    speeds_->record_tokens(target, *progress, tokens);
  }
}

auto upstream_directory::record_end(upstream& target, const std::shared_ptr<request_progress>& progress,
                                    bool complete) -> void {
  if (progress) {
    speeds_->record_end(target, *progress, complete);
  }
}

auto upstream_directory::detect_slow() -> void {
  if (!speeds_) {
    return;
  }
  auto now = settings_.clock_->now();
  for (const auto& target : busy_) {
    // Without a recent response of another upstream, the local link may be what delays this one.
    if (link_.status_for(target->entry_.id_, now, now) == link_status::healthy) {
      speeds_->record_pending(*target);
    }
  }
}

auto upstream_directory::speed_reports() -> std::vector<speed_report> {
  return speeds_ ? speeds_->reports() : std::vector<speed_report>{};
}

auto upstream_directory::apply_speed_reports(const std::string& peer,
                                             const std::vector<speed_report>& reports) -> void {
  if (speeds_) {
    speeds_->apply(peer, reports);
  }
}

auto upstream_directory::slowness_of(const upstream& target) const -> double {
  return speeds_ ? speeds_->slowness(target) : 1;
}

auto upstream_directory::speed_counts() const -> speed_statistics {
  return speeds_ ? speeds_->statistics() : speed_statistics{};
}

}  // namespace birchlever

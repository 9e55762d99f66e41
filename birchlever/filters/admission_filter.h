/// Admission control for calls.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "birchlever/filters/request_filter.h"

namespace birchlever {

struct daemon_context;

/// Rejects calls while the daemon stops, its configuration is stale, the client account or the daemon is at
/// its limit of concurrent calls, or the deadline has passed. Rejections are `not_run`; all but
/// deadline_exceeded carry a retry delay.
class admission_filter final : public request_filter {
 public:
  explicit admission_filter(std::shared_ptr<daemon_context> context);

  auto apply(request_context& context) -> filter_result override;

 private:
  /// Calls in flight, per client account. Shared with the release callbacks, which may outlive the filter.
  struct occupancy {
    std::mutex mutex_;
    std::map<std::string, std::int64_t> by_account_;
    std::int64_t total_ = 0;
  };

  auto acquire_slot(request_context& context) -> std::optional<error>;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<occupancy> occupancy_;
};

}  // namespace birchlever

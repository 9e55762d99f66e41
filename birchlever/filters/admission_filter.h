/// Lets a call in only when it can be served as promised.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "birchlever/filters/request_filter.h"

namespace birchlever {

struct daemon_context;

/// Refuses, always with not_run and when to come back: stopping, configuration_stale, account_over_limit,
/// overloaded, deadline_exceeded.
class admission_filter final : public request_filter {
 public:
  explicit admission_filter(std::shared_ptr<daemon_context> context);

  auto apply(request_context& context) -> filter_verdict override;

 private:
  /// Calls under way, per client account; shared with the releases that outlive the filter's call.
  struct occupancy {
    std::mutex mutex_;
    std::map<std::string, std::int64_t> by_account_;
    std::int64_t total_ = 0;
  };

  auto take_place(request_context& context) -> std::optional<error>;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<occupancy> occupancy_;
};

}  // namespace birchlever

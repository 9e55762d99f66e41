/// The state of a caller's request while it passes through the filters.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/telemetry/trace.h"

namespace birchlever {

class upstream_exchange;

/// Each filter fills in its own section.
struct request_context {
  // From the caller.
  std::map<std::string, std::string> headers_;  ///< Names in lower case.
  std::string body_;
  std::string service_path_;  ///< Path after the service name; plain services only.
  trace_context trace_;

  // From the parse filter.
  open_request open_;
  std::string upstream_body_;  ///< The body sent to the upstream.
  bool stream_ = false;
  bool last_ = false;

  // From the admission filter. Occupies a slot until released.
  std::shared_ptr<void> admission_;

  // From the dispatch filter.
  milliseconds deadline_at_ = 0;  ///< On the daemon's clock.
  dispatch_ticket ticket_;
  milliseconds ticket_usable_until_ = 0;  ///< On the daemon's clock; may pass while the process is suspended.
  std::shared_ptr<upstream_exchange> exchange_;
  std::optional<std::string> replay_;  ///< The recorded answer of an earlier attempt.
  int attempts_left_ = 0;
  bool may_have_run_ = false;  ///< Whether an attempt ended with an unknown outcome.

  // Set by the filter that rejects the request.
  std::optional<error> failure_;

  /// Returns the failure, with `not_run` replaced by `outcome_unknown` if any attempt may have run.
  [[nodiscard]] auto with_accurate_run_state(error failure) const -> error {
    if (may_have_run_ && failure.ran_ == ran_state::not_run) {
      failure.ran_ = ran_state::outcome_unknown;
    }
    return failure;
  }

  /// Returns a header's value, or an empty string. The name must be in lower case.
  [[nodiscard]] auto header(const std::string& name) const -> std::string {
    auto found = headers_.find(name);
    return found == headers_.end() ? std::string{} : found->second;
  }
};

}  // namespace birchlever

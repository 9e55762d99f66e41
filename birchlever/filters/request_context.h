/// A caller's request on its way through the filters.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/telemetry/trace.h"

namespace birchlever {

class upstream_exchange;

/// Filled in by one filter after the other.
struct request_context {
  // From the caller.
  std::map<std::string, std::string> headers_;  ///< Names in lower case.
  std::string body_;
  std::string service_path_;  ///< Path behind a plain service's name.
  trace_context trace_;

  // From the parse filter.
  open_request open_;
  std::string upstream_body_;  ///< What the engine gets.
  bool stream_ = false;
  bool last_ = false;

  // From the admission filter: counts the call as under way until released.
  std::shared_ptr<void> admission_;

  // From the dispatch filter.
  milliseconds deadline_at_ = 0;  ///< On the daemon's clock.
  dispatch_ticket ticket_;
  milliseconds ticket_usable_until_ = 0;  ///< On the daemon's clock; a frozen process finds it passed.
  std::shared_ptr<upstream_exchange> exchange_;
  std::optional<std::string> replay_;  ///< The answer given before.
  int attempts_left_ = 0;
  bool may_have_run_ = false;  ///< Some attempt of this request ended without a word on whether it ran.

  // When a filter answers itself.
  std::optional<error> failure_;

  /// The failure as the caller must hear it: "not run" only when it is true of every attempt.
  [[nodiscard]] auto truthful(error failure) const -> error {
    if (may_have_run_ && failure.ran_ == ran_state::not_run) {
      failure.ran_ = ran_state::outcome_unknown;
    }
    return failure;
  }

  /// A header's content, or empty.
  [[nodiscard]] auto header(const std::string& name) const -> std::string {
    auto found = headers_.find(name);
    return found == headers_.end() ? std::string{} : found->second;
  }
};

}  // namespace birchlever

/// The last filter of the chain: selects an upstream, sends the request and relays the response.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"
#include "birchlever/gateway/upstream_attempt.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// Retries a request on another upstream only if it did not run, or if it may run more than once.
class upstream_dispatch final : public gateway_filter {
 public:
  explicit upstream_dispatch(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  /// Attempts made for a request.
  struct attempt_counts {
    int attempts_ = 0;      ///< Upstreams tried.
    int may_have_run_ = 0;  ///< Attempts that the upstream may have executed: their outcome is unknown.
    std::optional<error> withheld_;  ///< Why the last attempt was not made.
  };

  auto make_criteria(const gateway_request& request) const -> upstream_criteria;
  auto policy_for(const gateway_request& request) const -> std::shared_ptr<const policy_interface>;
  auto run_attempts(gateway_request& request, attempt_counts& counts) -> task<attempt_outcome>;
  auto track(const gateway_request& request, const upstream_choice& choice,
             const upstream_criteria& criteria) const -> std::shared_ptr<request_progress>;
  /// Selects an upstream, apart from those where a crash is to be expected if possible.
  auto choose_upstream(const gateway_request& request, const upstream_criteria& criteria) const
      -> result<upstream_choice>;
  auto abort_stream(gateway_request& request) -> void;
  auto attempt_once(gateway_request& request, upstream_criteria& criteria, attempt_counts& counts)
      -> task<attempt_outcome>;
  auto may_retry(const gateway_request& request, attempt_outcome last, const attempt_counts& counts) const
      -> bool;
  /// Returns true if the outcome permits another attempt.
  static auto is_retriable(const gateway_request& request, attempt_outcome last, const attempt_counts& counts)
      -> bool;
  auto log_withheld(const gateway_request& request, const error& reason) const -> void;
  static auto final_error(attempt_outcome last, const attempt_counts& counts) -> error;

  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever

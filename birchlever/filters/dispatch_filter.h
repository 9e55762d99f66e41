/// Requests a ticket from the program's owner and sends the call to the upstream that the ticket names.
#pragma once

#include <memory>

#include "birchlever/filters/request_filter.h"
#include "birchlever/filters/retry_budget.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// Completes when an upstream has accepted the call, a recorded answer was found, or the call failed.
class dispatch_filter final : public request_filter {
 public:
  dispatch_filter(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway);

  auto apply(request_context& context) -> filter_result override;

  /// Sends a repeatable call again after its stream was interrupted, resuming after `received_text`.
  auto resend(request_context& context, const std::string& received_text) -> filter_result;

  /// Reports the outcome of an attempt to the owner. The reply may carry the answer of another attempt.
  auto settle(const request_context& context, call_outcome outcome, std::int64_t tokens,
              std::int64_t cached_tokens, const std::string& answer) -> settle_reply;

  /// Reports an attempt without an answer in the background, so that the caller gets its failure at once.
  auto settle_later(const request_context& context, call_outcome outcome) -> void;

 private:
  enum class attempt_result { accepted, answered, retry };

  auto attempt(request_context& context, const std::string& received_text) -> attempt_result;
  auto send(request_context& context, const std::string& received_text) -> attempt_result;
  auto handle_refusal(request_context& context, error reason) -> attempt_result;
  auto handle_failure(request_context& context, error reason) -> attempt_result;
  auto prepare_retry(request_context& context, call_outcome outcome) -> void;
  [[nodiscard]] auto make_settle_request(const request_context& context, call_outcome outcome,
                                         std::int64_t tokens, std::int64_t cached_tokens,
                                         const std::string& answer) const -> settle_request;
  auto report_accepted(const request_context& context) -> void;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
  retry_budget retries_;
};

}  // namespace birchlever

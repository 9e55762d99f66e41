/// Gets a ticket from the program's owner and sends the call to the upstream it names.
#pragma once

#include <memory>

#include "birchlever/filters/request_filter.h"
#include "birchlever/filters/retry_budget.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// Ends with an upstream that accepted the call, a replayed answer, or a typed failure. Also sends again
/// what broke off later.
class dispatch_filter final : public request_filter {
 public:
  dispatch_filter(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway);

  auto apply(request_context& context) -> filter_verdict override;

  /// Sends a repeatable call once more, resuming behind the text that is known already.
  auto send_again(request_context& context, const std::string& known_text) -> filter_verdict;

  /// Reports an attempt to the owner. The answer may have been given by another attempt.
  auto settle(const request_context& context, call_outcome outcome, std::int64_t tokens,
              std::int64_t cached_tokens, const std::string& answer) -> settle_reply;

  /// Reports an attempt that has no answer without waiting: its caller hears its final word at once.
  auto settle_later(const request_context& context, call_outcome outcome) -> void;

 private:
  enum class attempt_end { accepted, answered, try_again };

  auto attempt(request_context& context, const std::string& known_text) -> attempt_end;
  auto send(request_context& context, const std::string& known_text) -> attempt_end;
  auto refused(request_context& context, error reason) -> attempt_end;
  auto broken(request_context& context, error reason) -> attempt_end;
  auto prepare_retry(request_context& context, call_outcome outcome) -> void;
  [[nodiscard]] auto report_of(const request_context& context, call_outcome outcome, std::int64_t tokens,
                               std::int64_t cached_tokens, const std::string& answer) const -> settle_request;
  auto report_accepted(const request_context& context) -> void;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
  retry_budget retries_;
};

}  // namespace birchlever

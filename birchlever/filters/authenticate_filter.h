/// Authenticates callers by their API key.
#pragma once

#include "birchlever/filters/request_filter.h"

namespace birchlever {

struct daemon_context;

/// Sets the client account. Rejects with unauthenticated, or with not_ready before a configuration is loaded.
class authenticate_filter final : public request_filter {
 public:
  explicit authenticate_filter(std::shared_ptr<daemon_context> context);

  auto apply(request_context& context) -> filter_result override;

 private:
  std::shared_ptr<daemon_context> context_;
};

/// Returns the bearer token of an Authorization header, or an empty string.
[[nodiscard]] auto bearer_key(const std::string& header) -> std::string;

}  // namespace birchlever

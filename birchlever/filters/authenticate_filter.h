/// Tells callers apart by their key.
#pragma once

#include "birchlever/filters/request_filter.h"

namespace birchlever {

struct daemon_context;

/// Sets the client account. Refuses with unauthenticated, or not_ready before a configuration is known.
class authenticate_filter final : public request_filter {
 public:
  explicit authenticate_filter(std::shared_ptr<daemon_context> context);

  auto apply(request_context& context) -> filter_verdict override;

 private:
  std::shared_ptr<daemon_context> context_;
};

/// The key in an Authorization header; empty when there is none.
[[nodiscard]] auto bearer_key(const std::string& header) -> std::string;

}  // namespace birchlever

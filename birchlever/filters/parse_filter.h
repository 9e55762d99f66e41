/// Parses and validates chat completions and plain-service calls.
#pragma once

#include "birchlever/filters/request_filter.h"

namespace birchlever {

struct daemon_settings;

/// Rejects with malformed_json, wrong_type, missing_field or body_too_large.
class parse_filter final : public request_filter {
 public:
  explicit parse_filter(const daemon_settings& settings);

  auto apply(request_context& context) -> filter_result override;

 private:
  auto parse_chat(request_context& context) const -> status;
  auto parse_service(request_context& context) const -> status;
  auto parse_identity(request_context& context) const -> status;

  std::int64_t max_body_bytes_ = 0;
  std::int64_t call_limit_ = 0;
  std::string data_hall_;
};

}  // namespace birchlever

/// Interface between the gateway and the header names and formats of a deployment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/core/result.h"
#include "birchlever/http/http_message.h"
#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {

/// Request metadata from the caller's headers.
struct request_metadata {
  std::string request_id_;
  std::optional<milliseconds> time_left_;  ///< Time for which the caller waits.
  std::string program_;                    ///< Empty if the request belongs to no program.
  std::string session_;
  std::optional<milliseconds> program_time_left_;
  std::optional<std::int64_t> budget_;      ///< Token budget of the program.
  std::optional<std::int64_t> last_event_;  ///< Last event that the caller received; it resumes after it.
  std::string previous_turn_;               ///< Empty for the first turn.
  std::string key_digest_;                  ///< Hexadecimal SHA-256 of the caller's key; empty without a key.
  std::string model_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t max_tokens_ = 0;  ///< Limit of generated tokens.
  std::vector<prompt_part> parts_;
};

/// Values of the headers that the gateway adds to a request for an upstream.
struct upstream_headers {
  milliseconds time_left_ = 0;
  std::string expected_upstream_;           ///< Any other server at the address must reject the request.
  std::optional<std::int64_t> last_event_;  ///< The stream resumes after this event.
  int urgency_ = 5;                         ///< 0 (highest) to 9 (lowest).
  std::string account_;                     ///< Name of the caller's account; may be empty.
};

/// Response metadata from an upstream's headers.
struct response_metadata {
  bool not_executed_ = false;   ///< The upstream did not run the request.
  bool has_signature_ = false;  ///< Present, not verified.
  std::string request_id_;
  std::string upstream_;  ///< Id of the incarnation that answers; health checks only, else empty.
};

/// Reads and writes headers. Implemented per deployment.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  /// Reads a caller's headers. Failures: malformed_request, with the name of the header.
  [[nodiscard]] virtual auto read_request(const http_request& request) const -> result<request_metadata> = 0;

  /// Removes the headers that are reserved for the gateway, then sets them.
  virtual auto set_upstream_headers(http_request& request, const upstream_headers& headers) const -> void = 0;

  /// Reads an upstream's headers.
  [[nodiscard]] virtual auto read_response(const http_response& response) const -> response_metadata = 0;

  /// Removes the headers that are meant for the gateway only.
  virtual auto strip_response(http_response& response) const -> void = 0;
};

}  // namespace birchlever

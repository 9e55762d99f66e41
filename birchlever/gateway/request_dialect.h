/// What a deployment's headers say, and what it wants to read in ours. The names live with the deployment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/core/result.h"
#include "birchlever/http/http_message.h"
#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {

/// What a caller says of a request beside method, path and body.
struct request_metadata {
  std::string request_id_;
  std::optional<milliseconds> time_left_;  ///< How long the caller waits.
  std::string program_;                    ///< Empty for a request outside programs.
  std::string session_;
  std::optional<milliseconds> program_time_left_;
  std::optional<std::int64_t> budget_;      ///< Tokens of the whole program.
  std::optional<std::int64_t> last_event_;  ///< The caller has a stream up to this event, and wants the rest.
  std::string previous_turn_;               ///< Empty at a start.
  std::string key_digest_;  ///< SHA-256 of the caller's key, in hexadecimal; empty without one.
  std::string model_;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t max_tokens_ = 0;  ///< The most that is generated.
  std::vector<prompt_part> parts_;
};

/// What an upstream is told with a request.
struct upstream_headers {
  milliseconds time_left_ = 0;
  std::string expected_upstream_;           ///< Another server at the same address must refuse.
  std::optional<std::int64_t> last_event_;  ///< The stream is to go on behind this event.
  int urgency_ = 5;                         ///< 0 first, 9 last.
  std::string account_;                     ///< Name of the caller's account; empty when it has none.
};

/// What an upstream's answer says beside its status.
struct response_metadata {
  bool not_executed_ = false;
  bool has_signature_ = false;  ///< Carries the upstream's proof that the answer is its own.
  std::string request_id_;
};

/// What a deployment supplies: reading and writing its headers. No decisions.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  /// Reads a caller's headers. Failures: malformed_request, naming the header.
  [[nodiscard]] virtual auto read_request(const http_request& request) const -> result<request_metadata> = 0;

  /// Removes what only the system may set, then sets it.
  virtual auto set_upstream_headers(http_request& request, const upstream_headers& marks) const -> void = 0;

  /// Reads an upstream's headers.
  [[nodiscard]] virtual auto read_response(const http_response& answer) const -> response_metadata = 0;

  /// Removes from an answer what is meant for us only.
  virtual auto strip_response(http_response& answer) const -> void = 0;
};

}  // namespace birchlever

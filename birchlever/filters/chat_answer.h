/// Produces the response of a chat completion, either streamed or complete.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "birchlever/filters/request_context.h"

namespace birchlever {

struct daemon_context;
class dispatch_filter;

/// Tokens are forwarded as they arrive. The final event is held until the owner has recorded the answer, so a
/// caller that received it can rely on the history. If the stream is interrupted and the call is repeatable,
/// it resumes on another engine.
class chat_answer {
 public:
  chat_answer(std::shared_ptr<daemon_context> daemon, dispatch_filter& dispatcher,
              std::shared_ptr<request_context> context);

  /// Returns the next bytes for a streaming caller, or nothing at the end of the answer.
  auto next() -> std::optional<std::string>;

  /// Reads the answer to its end and returns it as a chat.completion object.
  auto complete_response() -> result<std::string>;

  /// Converts a recorded answer to the events of a stream.
  static auto replay_as_events(const std::string& answer) -> std::string;

 private:
  enum class stage { streaming, ended };

  auto advance() -> result<std::string>;
  auto handle_event(const std::string& event) -> std::string;
  auto handle_data(const std::string& data, const std::string& event) -> std::string;
  auto finish() -> result<std::string>;
  auto resume(const error& reason) -> result<std::string>;
  [[nodiscard]] auto recorded_answer() const -> std::string;
  [[nodiscard]] auto remaining_wait() const -> milliseconds;

  std::shared_ptr<daemon_context> daemon_;
  dispatch_filter& dispatcher_;
  std::shared_ptr<request_context> context_;
  stage stage_ = stage::streaming;
  std::string buffer_;
  std::string text_;
  std::string completion_id_;
  std::string finish_reason_;
  std::int64_t tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  bool finish_seen_ = false;
  std::string answer_;
};

}  // namespace birchlever

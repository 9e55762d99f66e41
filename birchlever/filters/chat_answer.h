/// The answer to a chat completion, streamed or whole, its end held until it is recorded.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "birchlever/filters/request_context.h"

namespace birchlever {

struct daemon_context;
class dispatch_filter;

/// Tokens go to the caller as they come. The final event goes out only when the owner confirmed the record,
/// so a caller that saw the end can rely on the history. A stream that breaks off is resumed on another
/// engine when the call is repeatable.
class chat_answer {
 public:
  chat_answer(std::shared_ptr<daemon_context> daemon, dispatch_filter& dispatcher,
              std::shared_ptr<request_context> context);

  /// The next bytes for a streaming caller; empty when the answer has ended.
  auto next() -> std::optional<std::string>;

  /// The whole answer as a chat.completion object.
  auto whole() -> result<std::string>;

  /// A recorded answer as the events of a stream.
  static auto replay_as_events(const std::string& answer) -> std::string;

 private:
  enum class stage { streaming, ended };

  auto advance() -> result<std::string>;
  auto take_event(const std::string& event) -> std::string;
  auto take_data(const std::string& data, const std::string& event) -> std::string;
  auto finish() -> result<std::string>;
  auto resume(const error& reason) -> result<std::string>;
  [[nodiscard]] auto recorded_answer() const -> std::string;
  [[nodiscard]] auto patience() const -> milliseconds;

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
  bool final_seen_ = false;
  std::string answer_;
};

}  // namespace birchlever

/// Spans of the hops a request takes, joined by W3C trace context, exported as Zipkin v2 JSON.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace birchlever {

/// Identity of a trace and of the span that a new span hangs under.
struct trace_context {
  std::string trace_id_;  ///< 32 hexadecimal digits.
  std::string span_id_;   ///< 16 hexadecimal digits.

  /// Reads a traceparent header; begins a new trace when it is absent or unreadable.
  static auto from_header(std::string_view header) -> trace_context;

  /// The context as a traceparent header.
  [[nodiscard]] auto to_header() const -> std::string;
};

/// Keeps the newest spans of this process. Thread safe.
class trace_recorder {
 public:
  /// A recorder that keeps so many spans.
  explicit trace_recorder(std::string process_name, std::size_t capacity = 2048)
      : process_name_{std::move(process_name)}, capacity_{capacity} {}

  /// Takes in a finished span. Times in microseconds since 1970.
  auto record(const trace_context& self, const std::string& parent, const std::string& name,
              std::int64_t started_us, std::int64_t ended_us, std::map<std::string, std::string> tags)
      -> void;

  /// All kept spans as Zipkin v2 JSON.
  [[nodiscard]] auto to_zipkin() const -> std::string;

 private:
  struct span {
    trace_context self_;
    std::string parent_;
    std::string name_;
    std::int64_t started_us_ = 0;
    std::int64_t ended_us_ = 0;
    std::map<std::string, std::string> tags_;
  };

  std::string process_name_;
  std::size_t capacity_ = 0;
  mutable std::mutex mutex_;
  std::deque<span> spans_;
};

/// A span that records itself when it goes out of scope.
class scoped_span {
 public:
  scoped_span(trace_recorder& recorder, const trace_context& parent, std::string name);
  scoped_span(const scoped_span&) = delete;
  auto operator=(const scoped_span&) -> scoped_span& = delete;
  ~scoped_span();

  /// Adds a tag.
  auto tag(const std::string& name, const std::string& content) -> void { tags_[name] = content; }

  /// The context that spans under this one hang under.
  [[nodiscard]] auto context() const -> const trace_context& { return self_; }

 private:
  trace_recorder& recorder_;
  trace_context self_;
  std::string parent_;
  std::string name_;
  std::int64_t started_us_ = 0;
  std::map<std::string, std::string> tags_;
};

}  // namespace birchlever

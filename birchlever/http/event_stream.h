/// Reads a stream of server-sent events into whole events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace birchlever {

/// One whole event.
struct stream_event {
  std::string bytes_;  ///< As it came, blank line included.
  std::optional<std::int64_t> id_;
  std::string data_;  ///< Its data lines, joined by line feeds.
};

/// Cuts bytes into events; what is not whole yet stays.
class event_stream {
 public:
  static constexpr auto max_event_bytes = std::size_t{1U << 20U};

  /// Takes in bytes and yields the events that are whole now.
  auto feed(std::string_view bytes) -> std::vector<stream_event>;

  /// True when what is left over is longer than an event may be. A server in trouble may send bytes without
  /// end.
  [[nodiscard]] auto overlong() const -> bool { return rest_.size() > max_event_bytes; }

  /// True when part of an event is left over.
  [[nodiscard]] auto has_rest() const -> bool { return !rest_.empty(); }

 private:
  std::string rest_;
};

}  // namespace birchlever

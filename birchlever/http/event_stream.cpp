#include "birchlever/http/event_stream.h"

#include "birchlever/http/http_message.h"

namespace birchlever {
namespace {

/// The value behind a field's colon, without the one blank that may follow it.
auto field_value(std::string_view line, std::size_t colon) -> std::string_view {
  auto content = line.substr(colon + 1);
  return content.substr(0, 1) == " " ? content.substr(1) : content;
}

auto read_event(std::string_view text) -> stream_event {
  auto event = stream_event{std::string{text}, std::nullopt, {}};
  auto has_data = false;
  while (!text.empty()) {
    auto end = text.find('\n');
    auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
      continue;
    }
    auto name = line.substr(0, colon);
    if (name == "id") {
      event.id_ = parse_count(field_value(line, colon));
    } else if (name == "data") {
      event.data_ += has_data ? "\n" : "";
      event.data_ += field_value(line, colon);
      has_data = true;
    }
  }
  return event;
}

/// Where the first whole event ends, or npos.
auto end_of_event(std::string_view text) -> std::size_t {
  auto plain = text.find("\n\n");
  auto with_returns = text.find("\n\r\n");
  if (plain != std::string_view::npos && plain < with_returns) {
    return plain + 2;
  }
  return with_returns == std::string_view::npos ? with_returns : with_returns + 3;
}

}  // namespace

auto event_stream::feed(std::string_view bytes) -> std::vector<stream_event> {
  auto events = std::vector<stream_event>{};
  rest_ += bytes;
  auto from = std::size_t{0};
  auto view = std::string_view{rest_};
  for (auto end = end_of_event(view); end != std::string_view::npos; end = end_of_event(view.substr(from))) {
    events.push_back(read_event(view.substr(from, end)));
    from += end;
  }
  rest_.erase(0, from);
  return events;
}

}  // namespace birchlever

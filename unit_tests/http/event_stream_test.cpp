/// Bytes of a stream become whole events, however they are cut.
#include "birchlever/http/event_stream.h"

#include <catch2/catch.hpp>

namespace birchlever {

TEST_CASE("events are the same however the bytes are cut") {
  const auto text =
      std::string{"id: 1\ndata: a\ndata: b\n\nx-note: 2\nid:2\ndata:c\n\nid: 3\r\ndata: d\r\n\r\nid: 4\nda"};
  for (auto cut = std::size_t{1}; cut < text.size(); ++cut) {
    auto stream = event_stream{};
    auto events = stream.feed(text.substr(0, cut));
    for (auto& event : stream.feed(text.substr(cut))) {
      events.push_back(std::move(event));
    }
    REQUIRE(events.size() == 3);
    REQUIRE(events[0].data_ == "a\nb");
    REQUIRE(events[1].id_ == 2);
    REQUIRE(events[1].data_ == "c");
    REQUIRE(events[2].data_ == "d");
    REQUIRE(events[0].bytes_ + events[1].bytes_ + events[2].bytes_ + "id: 4\nda" == text);
    REQUIRE(stream.has_rest());
  }
}

}  // namespace birchlever

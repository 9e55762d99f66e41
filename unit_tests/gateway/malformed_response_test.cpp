/// Guards callers against bytes of an upstream that are no response.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/raw_fixture.h"

namespace birchlever::test {
namespace {

auto with_field(const std::string& line) -> raw_response {
  return {success_head + line + "\r\nContent-Length: 15\r\n\r\n" + one_event};
}

}  // namespace

/// Failure: a line that is no field is passed on, or hides the length of the body.
TEST_CASE("a response whose head has a malformed field name is no answer", "[malformed_response]") {
  for (auto byte : {' ', '\t', '\r', '\0', '\x01', '\x7f', '\x80', '\xff', '/', '(', '"'}) {
    for (const auto& name :
         {std::string{"X"} + byte + "A", std::string{"X-A"} + byte, std::string{"Content-Length"} + byte,
          std::string{"Content"} + byte + "Length", std::string{"Transfer-Encoding"} + byte}) {
      CAPTURE(name);
      check_is_no_answer(with_field(name + ": 3"), 20);
    }
  }
  for (const auto* line : {": 3", "X-A without a colon"}) {
    CAPTURE(line);
    check_is_no_answer(with_field(line), 20);
  }
  // Before the first field, a blank can't continue a value.
  for (const auto* line : {" X-A: 3", "\tX-A: 3"}) {
    CAPTURE(line);
    auto head = std::string{"HTTP/1.1 200 OK\r\n"} + line + "\r\n" + authentic_fields;
    check_is_no_answer({head + "Content-Length: 15\r\n\r\n" + one_event}, 20);
  }
}

/// Failure: a line that begins with a blank is passed on as a part of the value before it.
TEST_CASE("a response whose head has a folded line is no answer", "[malformed_response]") {
  for (const auto* line :
       {"X-A: b\r\n X-B: c", "X-A: b\r\n\tX-B: c", "X-A: b\r\n ", " Content-Length: 3", "X-A:\r\n b"}) {
    CAPTURE(line);
    check_is_no_answer(with_field(line), 20);
  }
}

/// Failure: a response in which control bytes or two lengths leave its meaning open is passed on.
TEST_CASE("a response whose head has a malformed value or two lengths is no answer", "[malformed_response]") {
  for (auto byte : {'\0', '\x01', '\x7f', '\r'}) {
    CAPTURE(byte);
    check_is_no_answer(with_field(std::string{"X-A: a"} + byte + "b"), 20);
  }
  for (const auto* line : {"X-A: b\nX-B: c", "Content-Length: 3", "Content-Length: +15",
                           "Content-Length: 15x", "Content-Length:", "Transfer-Encoding: chunked"}) {
    CAPTURE(line);
    check_is_no_answer(with_field(line), 20);
  }
}

}  // namespace birchlever::test

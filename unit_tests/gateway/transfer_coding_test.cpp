/// Guards callers against bodies that the gateway cannot decode, or whose end it cannot find.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/raw_fixture.h"

namespace birchlever::test {

/// Failure: a caller gets the coded bytes, or the framing of the chunks, as the body of an answer.
TEST_CASE("a response with a transfer coding other than chunked is no answer", "[transfer_coding]") {
  const auto chunks = std::string{"f\r\n"} + one_event + "\r\n0\r\n\r\n";
  for (const auto* coding :
       {"gzip", "xchunked", "chunkedx", "identity", "chunked, identity", "identity, chunked", "gzip, chunked",
        "chunked, gzip", "chunked, chunked", "chunked;a=b", "\"chunked\"", ""}) {
    for (const auto& body : {std::string{one_event}, chunks}) {
      CAPTURE(coding, body);
      check_is_no_answer({success_head + "Transfer-Encoding: " + coding + "\r\n\r\n" + body}, 20);
    }
  }
  CAPTURE("two fields");
  check_is_no_answer(
      {success_head + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}, 20);
  CAPTURE("HTTP/1.0");
  auto old =
      std::string{"HTTP/1.0 200 OK\r\n"} + authentic_fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
  check_is_no_answer({old}, 20);
}

/// Failure: a chunked response is rejected for how its coding is written.
TEST_CASE("a response in chunks is an answer", "[transfer_coding]") {
  const auto chunks = std::string{"f\r\n"} + one_event + "\r\n0\r\n\r\n";
  for (const auto* coding : {"chunked", "Chunked", "  chunked ", ", chunked", "chunked,"}) {
    CAPTURE(coding);
    check_is_answer({success_head + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks}, one_event, 20);
  }
}

/// Failure: a response without a body is rejected for a coding that its body does not have.
TEST_CASE("a response that has no body may name any coding", "[transfer_coding]") {
  auto response = raw_response{std::string{"HTTP/1.1 304 Not Modified\r\n"} + authentic_fields +
                               "Transfer-Encoding: gzip, chunked\r\n\r\n"};
  auto fixture = raw_fixture{response};
  CHECK(fixture.send("/unsafe/a", headers_of("r1"), "body").status_ == 304);
}

}  // namespace birchlever::test

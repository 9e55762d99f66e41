/// What a caller and an upstream see of a gateway, without a bench.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

const auto tool_headers =
    std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "1200"}};

auto header_of(const seen_request& seen, const std::string& name) -> std::string {
  auto found = seen.headers_.find(name);
  return found == seen.headers_.end() ? std::string{} : found->second;
}

}  // namespace

TEST_CASE("a safe request is answered with the upstream's own bytes and proof") {
  auto fixture = gateway_fixture{};
  auto seen = fixture.ask("/safe/a?b=c", tool_headers, "");
  REQUIRE(seen.status_ == 200);
  REQUIRE(seen.body_ == "answer to r1");
  REQUIRE(seen.headers_["X-Response-Signature"] == "proof-of-r1");
  REQUIRE(fixture.seen_.size() == 1);
  REQUIRE(fixture.seen_[0].target_ == "/safe/a?b=c");
}

TEST_CASE("an upstream gets what is left of the time and who is expected") {
  auto fixture = gateway_fixture{};
  fixture.ask("/unsafe/a", tool_headers, "body");
  REQUIRE(fixture.seen_.size() == 1);
  auto left = std::stoi(header_of(fixture.seen_[0], "X-Deadline-Ms"));
  REQUIRE(left <= 1200);
  REQUIRE(left > 800);
  REQUIRE(header_of(fixture.seen_[0], "X-Expect-Instance") == fixture.seen_[0].upstream_);
  REQUIRE(fixture.seen_[0].body_ == "body");
}

TEST_CASE("a first turn is streamed whole") {
  auto fixture = gateway_fixture{};
  auto seen = fixture.turn("t1", "", "hello");
  REQUIRE(seen.status_ == 200);
  REQUIRE(seen.whole_);
  REQUIRE(seen.body_ == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
  REQUIRE(fixture.seen_[0].body_ == "hello");
}

TEST_CASE("a later turn carries its chain in order") {
  auto fixture = gateway_fixture{};
  REQUIRE(fixture.turn("t1", "", "one").whole_);
  REQUIRE(fixture.turn("t2", "t1", "two").whole_);
  REQUIRE(fixture.turn("t3", "t2", "three").whole_);
  REQUIRE(fixture.seen_[2].body_ == "onee1\ne2\ne3\ntwoe1\ne2\ne3\nthree");
}

}  // namespace birchlever::test

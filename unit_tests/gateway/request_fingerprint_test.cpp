/// Recognition of the attempts of one piece of work.
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "birchlever/gateway/gateway_request.h"
#include "birchlever/gateway/request_fingerprint.h"

namespace birchlever {
namespace {

auto example() -> gateway_request {
  auto request = gateway_request{};
  request.message_ = http_request{http::verb::post, "/turn/x", 11};
  request.message_.set(http::field::host, "h.example");
  request.message_.body() = "input";
  request.metadata_.request_id_ = "r1";
  request.metadata_.program_ = "p1";
  request.metadata_.session_ = "s1";
  request.metadata_.previous_turn_ = "t0";
  request.metadata_.parts_ = {{1, 100}, {2, 50}};
  return request;
}

}  // namespace

// Guards against counting each attempt of a request as work of its own.
TEST_CASE("attempts with other ids and less time have the same fingerprint") {
  auto first = example();
  auto repeated = example();
  repeated.metadata_.request_id_ = "r2";
  repeated.metadata_.time_left_ = 700;
  repeated.metadata_.program_time_left_ = 900;
  REQUIRE(fingerprint_of(first) == fingerprint_of(repeated));
}

// Guards against rejecting a popular request for everyone because upstreams ended while copies of it ran.
TEST_CASE("equal requests outside programs have different fingerprints") {
  auto first = example();
  first.metadata_.program_.clear();
  auto second = first;
  second.metadata_.request_id_ = "r2";
  REQUIRE(fingerprint_of(first) != fingerprint_of(second));
}

// Guards against blaming a request for what another one of the same program or with the same text did.
TEST_CASE("requests that differ in content or position have different fingerprints") {
  auto changes = std::vector<std::function<void(gateway_request&)>>{
      [](gateway_request& other) { other.message_.body() = "input2"; },
      [](gateway_request& other) { other.message_.target("/turn/y"); },
      [](gateway_request& other) { other.message_.method(http::verb::put); },
      [](gateway_request& other) { other.message_.set(http::field::cookie, "X-Affinity-Key=a"); },
      [](gateway_request& other) { other.metadata_.program_ = "p2"; },
      [](gateway_request& other) { other.metadata_.session_ = "s2"; },
      [](gateway_request& other) { other.metadata_.previous_turn_ = "t1"; },
      [](gateway_request& other) { other.metadata_.parts_.back().id_ = 3; }};
  auto seen = std::set<std::string>{fingerprint_of(example())};
  for (const auto& change : changes) {
    auto other = example();
    change(other);
    REQUIRE(seen.insert(fingerprint_of(other)).second);
  }
}

// Guards against counting anew when another program sends what ended its upstreams before.
TEST_CASE("the content of a request does not depend on who sends it") {
  auto first = example();
  auto other = example();
  other.metadata_.request_id_ = "r2";
  other.metadata_.program_ = "p2";
  other.metadata_.session_ = "s2";
  REQUIRE(content_fingerprint_of(first) == content_fingerprint_of(other));
  REQUIRE(fingerprint_of(first) != fingerprint_of(other));
  other.metadata_.previous_turn_ = "t1";
  REQUIRE(content_fingerprint_of(first) != content_fingerprint_of(other));
}

}  // namespace birchlever

/// Guards callers against bytes of an upstream that are no response in the protocol.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

using kind = script::kind;

const auto invalid_statuses = {0, 1, 99, 101, 199, 600, 999};

auto headers_of(const std::string& id) -> std::map<std::string, std::string> {
  return {{"X-Request-Id", id}, {"X-Deadline-Ms", "1200"}};
}

}  // namespace

/// Failure: a response whose status is none of the protocol reaches the caller as the answer to its request.
TEST_CASE("a response with an invalid status is a broken attempt", "[invalid_status]") {
  for (const auto* target : {"/safe/a", "/unsafe/a", "/brief/a"}) {
    auto broken = gateway_fixture{};
    broken.scripts_ = {{kind::garbage}};
    auto expected = broken.send(target, headers_of("r1"), "body");
    for (auto status : invalid_statuses) {
      CAPTURE(target, status);
      auto fixture = gateway_fixture{};
      fixture.scripts_ = {{kind::answer, 0, status}};
      auto response = fixture.send(target, headers_of("r1"), "body");
      CHECK(response.status_ == expected.status_);
      CHECK(response.body_ == expected.body_);
      CHECK(fixture.seen_.size() == broken.seen_.size());
    }
  }
}

/// Failure: an unsafe request that may have run gets a promise that it did not, or runs again.
TEST_CASE("after an invalid status a safe request goes on elsewhere, an unsafe one gets 502",
          "[invalid_status]") {
  for (auto status : invalid_statuses) {
    CAPTURE(status);
    auto safe = gateway_fixture{};
    safe.scripts_ = {{kind::answer, 0, status}};
    auto served = safe.send("/safe/a", headers_of("r1"), "body");
    CHECK(served.status_ == 200);
    CHECK(served.body_ == "answer to r1");
    auto unsafe = gateway_fixture{};
    unsafe.scripts_ = {{kind::answer, 0, status}};
    CHECK(unsafe.send("/unsafe/a", headers_of("r1"), "body").status_ == 502);
    CHECK(unsafe.seen_.size() == 1);
  }
}

/// Failure: a server that responds at once with an invalid status is taken for a fast one and attracts all
/// requests of its service.
TEST_CASE("an upstream with invalid statuses gets no more requests than one that breaks off",
          "[invalid_status]") {
  constexpr auto requests = 24;
  for (auto status : {0, 99, 600}) {
    CAPTURE(status);
    auto fixture = gateway_fixture{};
    fixture.scripts_of_["tool-1"] = {kind::answer, 0, status};
    for (auto number = 0; number < requests; ++number) {
      CHECK(fixture.send("/safe/a", headers_of("r" + std::to_string(number)), "body").status_ == 200);
    }
    auto wasted = fixture.seen_.size() - requests;
    CHECK(wasted <= requests / 2);
  }
}

/// Failure: an answer of an upstream is taken for an invalid one.
TEST_CASE("redirects, client errors and server errors of an upstream are its answers", "[invalid_status]") {
  for (auto status : {300, 302, 399, 400, 404, 418, 499, 500, 501, 504, 599}) {
    CAPTURE(status);
    auto fixture = gateway_fixture{};
    fixture.scripts_ = {{kind::answer, 0, status}};
    auto response = fixture.send("/unsafe/a", headers_of("r1"), "body");
    CHECK(response.status_ == status);
    CHECK(response.body_ == "answer to r1");
  }
}

/// Failure: interim responses without end hold a request until its deadline.
TEST_CASE("a few interim responses are skipped, many are no response", "[invalid_status]") {
  auto few = gateway_fixture{};
  few.scripts_ = {{kind::interim, 3}};
  CHECK(few.send("/unsafe/a", headers_of("r1"), "body").body_ == "answer to r1");
  auto many = gateway_fixture{};
  many.scripts_ = {{kind::interim, 40}};
  CHECK(many.send("/unsafe/a", headers_of("r1"), "body").status_ == 502);
  CHECK(many.seen_.size() == 1);
}

}  // namespace birchlever::test

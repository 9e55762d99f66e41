/// Guards the blocking clients of `serve` against bytes that are no response in the protocol.
#include <catch2/catch.hpp>

#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/upstream/upstream_exchange.h"
#include "unit_tests/upstream/raw_server.h"

namespace birchlever {
namespace {

constexpr auto wait_limit = milliseconds{2000};

/// A response with a status as it is written here.
auto response_with(const std::string& status) -> std::string {
  return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
}

const auto invalid_statuses = {"000", "001", "099", "101", "600", "999"};

}  // namespace

/// Failure: `serve` takes a response with an invalid status for the answer of an upstream.
TEST_CASE("a streamed exchange with an invalid status is interrupted, its outcome unknown",
          "[invalid_status]") {
  auto pool = value(http_connection_pool::create({}));
  for (const auto* status : invalid_statuses) {
    CAPTURE(status);
    auto server = raw_server{response_with(status)};
    auto exchange = upstream_exchange::start(pool, {server.address(), "POST", "/", "{}"});
    auto got = exchange->wait_status(wait_limit);
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).ran_ == ran_state::outcome_unknown);
  }
  auto server = raw_server{response_with("404")};
  CHECK(
      value(upstream_exchange::start(pool, {server.address(), "POST", "/", "{}"})->wait_status(wait_limit)) ==
      404);
}

/// Failure: a call of a table service, a VM list or an upstream with an invalid status counts as answered.
TEST_CASE("a blocking call with an invalid status got no response", "[invalid_status]") {
  auto pool = value(http_connection_pool::create({}));
  for (const auto* status : invalid_statuses) {
    CAPTURE(status);
    auto server = raw_server{response_with(status)};
    auto got = pool->request(server.address(), "POST", "/", "{}");
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).ran_ == ran_state::outcome_unknown);
  }
  auto server = raw_server{response_with("404")};
  CHECK(value(pool->request(server.address(), "POST", "/", "{}")).status_ == 404);
}

}  // namespace birchlever

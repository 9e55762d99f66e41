/// Requests under which upstreams end: how far their repeats get through the daemons of a fleet.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

constexpr auto max_ended = std::size_t{3};  // Upstreams that may end under one request.
constexpr auto harmful = "ends its server";

auto headers_of(const std::string& id, const std::string& program = "p1")
    -> std::map<std::string, std::string> {
  return {{"X-Request-Id", id},
          {"X-Program-Id", program},
          {"X-Session-Id", "s1"},
          {"X-Deadline-Ms", "1500"},
          {"X-Token-Usage", "100,40"}};
}

auto turn_headers(const std::string& id, const std::string& program = "p1")
    -> std::map<std::string, std::string> {
  auto headers = headers_of(id, program);
  headers["X-Token-Budget"] = "1000";
  return headers;
}

/// A fleet of daemons before enough upstreams that one is always left.
auto start_fleet(gateway_fixture& fixture, std::size_t daemons) -> void {
  for (auto next = 3; next <= 8; ++next) {
    fixture.start_upstream("tool-" + std::to_string(next), "tool");
    fixture.start_upstream("engine-" + std::to_string(next), "chat");
  }
  for (auto next = std::size_t{1}; next < daemons; ++next) {
    fixture.add_gateway();
  }
  fixture.harmful_text_ = harmful;
}

/// Sends a request to a daemon and waits for its answer.
auto ask(gateway_fixture& fixture, std::size_t gateway, const std::string& target,
         const std::map<std::string, std::string>& headers, const std::string& body) -> received_response {
  auto received = fixture.send_to(gateway, target, headers, body);
  REQUIRE(fixture.run_until([&] { return received->has_value(); }));
  return **received;
}

}  // namespace

// Guards against counting the upstreams that end under a request anew for each client attempt and daemon.
TEST_CASE("a repeatable request that ends its upstreams reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    ask(fixture, attempt % 3, "/safe/a", headers_of("r" + std::to_string(attempt)), harmful);
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against sending the turn of a program again and again when each start of it ends an engine.
TEST_CASE("a turn that ends its engines reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    ask(fixture, attempt % 3, "/turn/x", turn_headers("t" + std::to_string(attempt)), harmful);
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

}  // namespace birchlever::test

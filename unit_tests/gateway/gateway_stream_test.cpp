/// Turns without stored history, and streams that resume on another upstream.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
TEST_CASE("a route that does not retain turns enforces program budgets") {
  auto fixture = gateway_fixture{};
  constexpr auto budget = std::int64_t{76};  // A turn generates 12 tokens of its maximum of 40.
  auto served = 0;
  while (fixture.turn_without_history("b" + std::to_string(served), budget).status_ == 200) {
    ++served;
  }
  CHECK(served == 4);  // 48 generated; the remaining 28 are below the maximum of a turn.
  CHECK(fixture.turn_without_history("b-last", budget).status_ == 402);
  CHECK(static_cast<int>(fixture.seen_.size()) == served);
}

TEST_CASE("a turn without stored history runs during a store outage if its program drew budget before") {
  auto fixture = gateway_fixture{};
  REQUIRE(fixture.turn_without_history("b1").status_ == 200);
  fixture.rows_->faults().down_ = true;
  auto during = fixture.turn_without_history("b2");
  CHECK(during.status_ == 200);
  CHECK(during.complete_);
}

namespace {

const auto complete_stream =
    std::string{"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"};

auto resumable_headers(const std::string& id) -> std::map<std::string, std::string> {
  return {{"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}};
}

}  // namespace

TEST_CASE("an interrupted resumable stream resumes on another upstream after the last complete event") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {{script::kind::cut_stream, 2}, {script::kind::stream, 4}};
  auto response = fixture.send("/resume/x", resumable_headers("r1"), "prompt");
  CHECK(response.complete_);
  CHECK(response.body_ == complete_stream);
  REQUIRE(fixture.seen_.size() == 2);
  CHECK(header_of(fixture.seen_[0], "Last-Event-Id").empty());
  CHECK(header_of(fixture.seen_[1], "Last-Event-Id") == "2");
  CHECK(fixture.seen_[0].upstream_ != fixture.seen_[1].upstream_);
}

TEST_CASE("an interrupted stream that is not resumable ends without its terminator") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {{script::kind::cut_stream, 2}, {script::kind::stream, 4}};
  auto response = fixture.turn_without_history("b1");
  CHECK_FALSE(response.complete_);
  CHECK(fixture.seen_.size() == 1);
}

TEST_CASE("a resumable stream is limited to the number of upstreams of its route") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {
      {script::kind::cut_stream, 1}, {script::kind::cut_stream, 2}, {script::kind::stream, 4}};
  auto response = fixture.send("/resume/x", resumable_headers("r1"), "prompt");
  CHECK_FALSE(response.complete_);
  CHECK(fixture.seen_.size() == 2);
  CHECK(response.body_ == complete_stream.substr(0, complete_stream.find("id: 3")));
}

TEST_CASE("a resumable stream whose response is lost before its start is retried") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {{script::kind::reset}, {script::kind::stream, 4}};
  auto response = fixture.send("/resume/x", resumable_headers("r1"), "prompt");
  CHECK(response.complete_);
  CHECK(response.body_ == complete_stream);
}

TEST_CASE("an error response is not appended to a started resumable stream") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {{script::kind::cut_stream, 2}, {script::kind::answer, 0, 500}};
  auto response = fixture.send("/resume/x", resumable_headers("r1"), "prompt");
  CHECK(response.status_ == 200);
  CHECK_FALSE(response.complete_);
  CHECK(response.body_ == complete_stream.substr(0, complete_stream.find("id: 3")));
}

TEST_CASE("a caller that resumes receives the events after its last one") {
  auto fixture = gateway_fixture{};
  fixture.scripts_ = {{script::kind::cut_stream, 3}, {script::kind::stream, 4}};
  auto headers = resumable_headers("r1");
  headers["Last-Event-Id"] = "2";
  auto response = fixture.send("/resume/x", headers, "prompt");
  CHECK(response.complete_);
  CHECK(response.body_ == complete_stream.substr(complete_stream.find("id: 3")));
  REQUIRE(fixture.seen_.size() == 2);
  CHECK(header_of(fixture.seen_[1], "Last-Event-Id") == "3");
}

}  // namespace birchlever::test

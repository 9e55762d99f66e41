/// Guards requests against responses to other requests that an upstream sends late on the same connection.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

using kind = script::kind;
using copy = script::copy;

/// A response of an upstream, by name.
struct named_script {
  const char* name_;
  script script_;
};

const auto plain_responses = std::vector<named_script>{{"success", {kind::answer}},
                                                       {"refusal, 503", {kind::refuse}},
                                                       {"refusal, 429", {kind::refuse, 0, 429}},
                                                       {"refusal, 408", {kind::refuse, 0, 408}},
                                                       {"other instance, 421", {kind::answer, 0, 421}},
                                                       {"503 without a statement", {kind::answer, 0, 503}},
                                                       {"failure, 500", {kind::answer, 0, 500}},
                                                       {"success without signature", {kind::no_proof}}};

const auto streamed_responses = std::vector<named_script>{{"stream", {kind::stream, 3}},
                                                          {"refusal, 503", {kind::refuse}},
                                                          {"other instance, 421", {kind::answer, 0, 421}},
                                                          {"failure, 500", {kind::answer, 0, 500}}};

auto with_copy(script original, copy when) -> script {
  original.copy_ = when;
  return original;
}

/// What a caller of the second request sees, and how often upstreams received it.
struct second_outcome {
  int status_ = 0;
  bool complete_ = false;
  std::string body_;
  std::size_t received_ = 0;

  auto operator==(const second_outcome& other) const -> bool = default;
};

/// Sends two requests to one upstream.
auto run_two(const std::string& target, script first, script second) -> second_outcome {
  auto fixture = gateway_fixture{};
  fixture.context_->upstreams_->remove("tool-2");
  fixture.context_->upstreams_->remove("engine-2");
  fixture.scripts_ = {first, second};
  auto headers = [](const std::string& id) {
    return std::map<std::string, std::string>{{"X-Request-Id", id}, {"X-Deadline-Ms", "600"}};
  };
  fixture.send(target, headers("r1"), "body");
  auto response = fixture.send(target, headers("r2"), "body");
  auto outcome = second_outcome{response.status_, response.complete_, response.body_};
  for (const auto& received : fixture.seen_) {
    outcome.received_ += header_of(received, "X-Request-Id") == "r2" ? 1U : 0U;
  }
  return outcome;
}

/// Checks that a second copy of the first response changes nothing for the second request, whenever it is
/// sent.
auto check_copies(const std::string& target, const std::vector<named_script>& responses,
                  const std::vector<copy>& times) -> void {
  for (const auto& first : responses) {
    for (const auto& second : responses) {
      auto plain = run_two(target, first.script_, second.script_);
      for (auto when : times) {
        CAPTURE(target, first.name_, second.name_, static_cast<int>(when));
        auto copied = run_two(target, with_copy(first.script_, when), second.script_);
        CHECK(copied.status_ == plain.status_);
        CHECK(copied.body_ == plain.body_);
        CHECK(copied == plain);
      }
    }
  }
}

}  // namespace

/// Failure: a late copy of a refusal is taken for the refusal of the next request, which then runs twice or
/// is reported as not run. Also guards against a copy that waits on the idle connection.
TEST_CASE("a copy of an earlier response changes nothing for the next request", "[late_response]") {
  check_copies("/unsafe/a", plain_responses, {copy::before_next, copy::at_once});
  check_copies("/safe/a", plain_responses, {copy::before_next});
  check_copies("/brief/a", streamed_responses, {copy::before_next, copy::at_once});
}

/// Failure: an unsafe request runs at a second upstream after a late copy of an earlier refusal.
TEST_CASE("an unsafe request runs once although a refusal of an earlier request comes late",
          "[late_response]") {
  auto fixture = gateway_fixture{};
  fixture.context_->upstreams_->remove("tool-2");
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "1200"}};
  fixture.scripts_ = {{kind::refuse, 0, 421, copy::before_next}};
  REQUIRE(fixture.send("/unsafe/a", headers, "body").status_ == 503);
  fixture.answer_delay_ = 50;
  headers["X-Request-Id"] = "r2";
  auto response = fixture.send_to(0, "/unsafe/a", headers, "body");
  REQUIRE(fixture.run_until([&] { return fixture.seen_.size() == 2; }));
  fixture.start_upstream("tool-3", "tool");
  REQUIRE(fixture.run_until([&] { return response->has_value(); }));
  CHECK((*response)->status_ == 200);
  CHECK((*response)->body_ == "answer to r2");
  CHECK(fixture.seen_.size() == 2);
  CHECK(fixture.context_->metrics_->counter("upstream_responses_skipped_total") == 1);
}

/// Failure: bytes of another response reach a caller amid its stream.
TEST_CASE("a copy of an earlier response amid a stream ends the stream incomplete", "[late_response]") {
  auto outcome = run_two("/brief/a", {kind::stream, 3, 200, copy::in_stream}, {kind::stream, 3});
  CHECK_FALSE(outcome.complete_);
  CHECK(outcome.body_ == "id: 1\ndata: e1\n\n");
  CHECK(outcome.received_ == 1);
}

/// Failure: a response that names no request is taken for a refusal, and the request is sent again.
TEST_CASE("a response without an id is no response to an unsafe request", "[late_response]") {
  for (auto status : {200, 421, 500, 503}) {
    CAPTURE(status);
    auto fresh = gateway_fixture{};
    fresh.scripts_ = {{kind::no_id, 0, status}};
    auto headers = std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "1200"}};
    CHECK(fresh.send("/unsafe/a", headers, "body").status_ == 502);
    CHECK(fresh.seen_.size() == 1);
    auto reused = run_two("/unsafe/a", {kind::answer}, {kind::no_id, 0, status});
    CHECK(reused.status_ == 502);
    CHECK(reused.received_ == 1);
  }
}

/// Failure: a connection on which a response is still to come is used for the next request.
TEST_CASE("a request whose own response does not follow a late copy ends with its deadline",
          "[late_response]") {
  auto fixture = gateway_fixture{};
  fixture.context_->upstreams_->remove("tool-2");
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "400"}};
  fixture.scripts_ = {{kind::answer, 0, 200, copy::before_next}, {kind::no_response}};
  REQUIRE(fixture.send("/unsafe/a", headers, "body").status_ == 200);
  headers["X-Request-Id"] = "r2";
  CHECK(fixture.send("/unsafe/a", headers, "body").status_ == 504);
  headers["X-Request-Id"] = "r3";
  auto third = fixture.send("/unsafe/a", headers, "body");
  CHECK(third.status_ == 200);
  CHECK(third.body_ == "answer to r3");
}

}  // namespace birchlever::test

/// Guards callers against a part of a response whose connection is reset during a long upload.
#include <catch2/catch.hpp>

#include "unit_tests/gateway/raw_fixture.h"

namespace birchlever::test {
namespace {

using ending = raw_response::ending;

constexpr auto long_upload = std::size_t{4'000'000};

/// A response that is cut off while a long request is being written.
auto early_response(ending how, milliseconds ends_after, const std::string& status = "200 OK")
    -> raw_response {
  auto bytes = "HTTP/1.1 " + status + "\r\n" + authentic_fields + "\r\n" + one_event;
  return {bytes, false, ends_after, how};
}

}  // namespace

/// Failure: the part of a response that came before a reset reaches a caller as its whole answer.
TEST_CASE("a response that is reset during a long upload is no answer", "[early_response]") {
  for (auto how : {ending::reset, ending::closed}) {
    for (auto ends_after : {0, 20, 200}) {
      CAPTURE(how, ends_after);
      check_is_no_answer(early_response(how, ends_after), long_upload);
    }
  }
}

/// Failure: likewise for an error of the upstream, whose status the caller gets with a part of its body.
TEST_CASE("an error response that is reset during a long upload is no answer", "[early_response]") {
  for (auto ends_after : {0, 20, 200}) {
    CAPTURE(ends_after);
    check_is_no_answer(early_response(ending::reset, ends_after, "413 Content Too Large"), long_upload);
  }
}

/// Failure: a part of a response is taken for the whole of it after the upload, or with a short one.
TEST_CASE("a response that is reset after the upload is no answer", "[early_response]") {
  auto response = early_response(ending::reset, 20);
  check_is_no_answer(response, 20);
  response.reads_request_ = true;
  check_is_no_answer(response, long_upload);
}

/// Failure: a response that ends properly is broken, because its upstream reads no more of the upload.
TEST_CASE("a response that ends properly during a long upload is an answer", "[early_response]") {
  for (auto ends_after : {0, 20, 200}) {
    CAPTURE(ends_after);
    check_is_answer(early_response(ending::ended, ends_after), one_event, long_upload);
  }
}

/// Failure: a stream that could go on at another upstream ends for its caller with the part before a reset.
TEST_CASE("a resumable stream that is reset during a long upload goes on elsewhere", "[early_response]") {
  auto fixture = raw_fixture{early_response(ending::reset, 0), {"engine-1"}};
  auto body = std::string(long_upload, 'x');
  for (auto number = 0; fixture.raw_engine_.requests() == 0 && number < 10; ++number) {
    auto served = fixture.send("/resume/a", headers_of("r" + std::to_string(number)), body);
    CHECK(is_whole_success(served));
    CHECK(served.body_.find("id: 3\n") != std::string::npos);
  }
  CHECK(fixture.raw_engine_.requests() > 0);
}

/// Failure: nobody can tell from the metrics that an upstream breaks its responses.
TEST_CASE("a response that is reset is counted", "[early_response]") {
  auto fixture = raw_fixture{early_response(ending::reset, 0)};
  fixture.send("/unsafe/a", headers_of("r1"), std::string(long_upload, 'x'));
  CHECK(fixture.context_->metrics_->counter("upstream_exchanges_failed_total{fault=\"broken\"}") == 1);
}

/// Failure: a program goes on from a turn of which it got only a part.
TEST_CASE("a turn whose response is reset is not stored", "[early_response]") {
  auto cut = gateway_fixture{};
  cut.scripts_ = {{script::kind::cut_stream}};
  cut.turn("t1", "", "body");
  auto expected = cut.turn("t2", "t1", "go on").status_;
  auto fixture = raw_fixture{early_response(ending::reset, 0), {"engine-1"}};
  fixture.context_->upstreams_->remove("engine-1");
  fixture.turn("t1", "", std::string(long_upload, 'x'));
  fixture.add_upstream("engine-1", "chat", fixture.port_of("engine-1"));
  fixture.context_->upstreams_->remove("raw-engine");
  auto next = fixture.turn("t2", "t1", "go on");
  CHECK(next.status_ == expected);
  CHECK(next.status_ != 200);
}

/// Failure: an upstream that responds early and resets is taken for a fast one and attracts all requests.
TEST_CASE("an upstream that resets early responses gets no more requests than one that breaks off",
          "[early_response]") {
  constexpr auto requests = 24;
  auto fixture = raw_fixture{early_response(ending::reset, 0), {"tool-1"}};
  auto body = std::string(long_upload, 'x');
  for (auto number = 0; number < requests; ++number) {
    CHECK(is_whole_success(fixture.send("/safe/a", headers_of("r" + std::to_string(number)), body)));
  }
  CHECK(fixture.raw_tool_.requests() <= requests / 2);
}

}  // namespace birchlever::test

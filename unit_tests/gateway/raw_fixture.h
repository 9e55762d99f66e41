/// A gateway before upstreams that send given bytes, and checks of what its callers get.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "unit_tests/gateway/gateway_fixture.h"
#include "unit_tests/gateway/raw_upstream.h"

namespace birchlever::test {

constexpr auto one_event = "id: 1\ndata: e\n\n";  ///< A body for a stream as well as for a plain answer.
constexpr auto authentic_fields = "X-Request-Id: ID\r\nX-Response-Signature: s\r\n";

/// The head of a success without the empty line at its end.
const auto success_head = std::string{"HTTP/1.1 200 OK\r\n"} + authentic_fields;

inline auto headers_of(const std::string& id) -> std::map<std::string, std::string> {
  return {{"X-Request-Id", id}, {"X-Deadline-Ms", "1500"}};
}

/// A gateway before one raw upstream of each service, and scripted upstreams where these are kept.
struct raw_fixture : gateway_fixture {
  explicit raw_fixture(const raw_response& response, const std::vector<std::string>& kept = {})
      : raw_tool_{loop_, "raw-tool", response}, raw_engine_{loop_, "raw-engine", response} {
    for (const auto* id : {"tool-1", "tool-2", "engine-1", "engine-2"}) {
      if (std::find(kept.begin(), kept.end(), id) == kept.end()) {
        context_->upstreams_->remove(id);
      }
    }
    add_upstream("raw-tool", "tool", raw_tool_.port());
    add_upstream("raw-engine", "chat", raw_engine_.port());
  }

  raw_upstream raw_tool_;
  raw_upstream raw_engine_;
};

inline auto is_whole_success(const received_response& response) -> bool {
  return response.status_ == 200 && response.complete_;
}

/// Checks that no caller gets such a response as an answer, on a route of each kind.
inline auto check_is_no_answer(const raw_response& response, std::size_t upload) -> void {
  auto body = std::string(upload, 'x');
  auto unsafe = raw_fixture{response};
  CHECK(unsafe.send("/unsafe/a", headers_of("r1"), body).status_ == 502);
  CHECK(unsafe.raw_tool_.requests() == 1);
  auto turn = raw_fixture{response};
  CHECK_FALSE(is_whole_success(turn.turn("t1", "", body)));
  CHECK(turn.raw_engine_.requests() == 1);
  auto safe = raw_fixture{response, {"tool-1"}};
  for (auto number = 0; safe.raw_tool_.requests() == 0 && number < 10; ++number) {
    auto served = safe.send("/safe/a", headers_of("r" + std::to_string(number)), body);
    CHECK(is_whole_success(served));
    CHECK(served.body_ == "answer to r" + std::to_string(number));
  }
  CHECK(safe.raw_tool_.requests() > 0);
}

/// Checks that callers get a response as the upstream's answer.
inline auto check_is_answer(const raw_response& response, const std::string& expected, std::size_t upload)
    -> void {
  auto body = std::string(upload, 'x');
  auto unsafe = raw_fixture{response};
  auto answer = unsafe.send("/unsafe/a", headers_of("r1"), body);
  CHECK(is_whole_success(answer));
  CHECK(answer.body_ == expected);
  auto turn = raw_fixture{response};
  CHECK(is_whole_success(turn.turn("t1", "", body)));
}

}  // namespace birchlever::test

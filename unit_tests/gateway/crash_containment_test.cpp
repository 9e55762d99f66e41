/// Requests under which upstreams end: how far their repeats get through the daemons of a fleet.
#include <algorithm>

#include <catch2/catch.hpp>

#include "birchlever/gateway/crash_guard.h"
#include "birchlever/gateway/request_fingerprint.h"
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

/// Repeats a harmful request under new ids through the daemons in turn.
auto repeat(gateway_fixture& fixture, const std::string& target, std::size_t attempts) -> void {
  for (auto attempt = std::size_t{0}; attempt < attempts; ++attempt) {
    auto id = "r" + std::to_string(attempt);
    auto headers = target == "/turn/x" ? turn_headers(id) : headers_of(id);
    ask(fixture, attempt % fixture.contexts_.size(), target, headers, harmful);
  }
}

}  // namespace

// Guards against counting the upstreams that end under a request anew for each client attempt and daemon.
TEST_CASE("a repeatable request that ends its upstreams reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against sending the turn of a program again and again when each start of it ends an engine.
TEST_CASE("a turn that ends its engines reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  repeat(fixture, "/turn/x", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against answers that promise what is not known: the request was not sent this time, but it ran
// before.
TEST_CASE("a request that is not sent again gets a typed final error") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 2);
  repeat(fixture, "/unsafe/a", 3);
  auto sent = fixture.seen_.size();
  auto response = ask(fixture, 1, "/unsafe/a", headers_of("r4"), harmful);
  REQUIRE(response.status_ == 502);
  REQUIRE(response.body_.find("upstreams_crashed") != std::string::npos);
  REQUIRE(response.body_.find("not_run") != std::string::npos);
  REQUIRE(response.headers_.count("Retry-After") == 0);
  REQUIRE(fixture.seen_.size() == sent);
}

// Guards against a final error for a request that may be served once earlier sends turn out harmless.
TEST_CASE("a request with unresolved sends is refused for a while only") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 1);
  auto request = gateway_request{};
  request.message_ = http_request{http::verb::post, "/unsafe/a", 11};
  request.message_.set(http::field::host, "h.example");
  request.message_.body() = "body";
  request.metadata_.program_ = "p1";
  request.metadata_.session_ = "s1";
  auto fingerprint = fingerprint_of(request);
  for (const auto* upstream : {"u1", "u2", "u3"}) {
    fixture.registers_.front()->apply_peer_record({fingerprint, upstream, send_state::open});
  }
  auto refused = ask(fixture, 0, "/unsafe/a", headers_of("r2"), "body");
  REQUIRE(refused.status_ == 503);
  REQUIRE(refused.body_.find("sends_unresolved") != std::string::npos);
  REQUIRE(refused.headers_.count("Retry-After") == 1);
  fixture.registers_.front()->apply_peer_record({fingerprint, "u3", send_state::settled});
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r3"), "body").status_ == 200);
}

// Guards against repeats that slip through while the store is down: daemons tell each other.
TEST_CASE("while the store is down a harmful request still reaches three upstreams at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.rows_->faults().down_ = true;
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against repeats that slip through while messages between daemons are lost: the store has the
// records.
TEST_CASE("without messages between daemons a harmful request reaches three upstreams at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 4);
  fixture.peers_connected_ = false;
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against counting separately on each side of a partition while the store, which would join the
// counts, is away as well.
TEST_CASE("without store and peers a harmful request reaches three upstreams at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.rows_->faults().down_ = true;
  fixture.peers_connected_ = false;
  fixture.partition_side_ = GENERATE(peer_contact::few, peer_contact::most);
  repeat(fixture, "/safe/a", 9);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against the same while the store answers, but daemons that were cut off learn of its changes late.
TEST_CASE("a daemon that hears few others does not send suspected work") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 1);
  repeat(fixture, "/unsafe/a", 1);
  fixture.peers_connected_ = false;
  fixture.partition_side_ = peer_contact::few;
  auto refused = ask(fixture, 0, "/unsafe/a", headers_of("r1"), harmful);
  REQUIRE(refused.status_ == 503);
  REQUIRE(refused.body_.find("sends_unresolved") != std::string::npos);
  REQUIRE(refused.headers_.count("Retry-After") == 1);
  REQUIRE(fixture.ended_upstreams() == 1);
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r2"), "body").status_ == 200);
}

// Guards against rejecting what lost its upstream during a partition although the store knows of all sends.
TEST_CASE("most of the fleet sends suspected work during a partition while the store records it") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 1);
  repeat(fixture, "/unsafe/a", 1);
  fixture.peers_connected_ = false;
  fixture.partition_side_ = peer_contact::most;
  fixture.harmful_text_.clear();
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r1"), harmful).status_ == 200);
}

// Guards against a daemon that joins and knows nothing of what its peers saw.
TEST_CASE("a daemon that starts later knows of the upstreams that ended before") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 1);
  repeat(fixture, "/unsafe/a", 3);
  auto joined = fixture.add_gateway();
  REQUIRE(fixture.run_until([&] { return fixture.registers_[joined]->primed(); }));
  ask(fixture, joined, "/unsafe/a", headers_of("r4"), harmful);
  REQUIRE(fixture.ended_upstreams() == max_ended);
}

// Guards against a crash that nobody remembers because the daemon that saw it ended.
TEST_CASE("after a daemon was lost a request may end one upstream fewer") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 2);
  for (const auto& context : fixture.contexts_) {
    context->crash_guard_->set_loss_check([] { return true; });
  }
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() == max_ended - 1);
}

// Guards against punishing the requests that ran beside the harmful one when it ended their upstream.
TEST_CASE("requests that ran beside a harmful one are served") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.answer_delay_ = 150;
  fixture.ends_after_ = 100;
  constexpr auto innocent = std::size_t{24};
  constexpr auto starts = std::size_t{3};  // Of a turn, by its program.
  auto served = std::vector<bool>(innocent);
  for (auto start = std::size_t{0}; start < starts; ++start) {
    auto pending = std::vector<std::shared_ptr<std::optional<received_response>>>(innocent);
    auto harm = fixture.send_to(start, "/turn/x", turn_headers("h" + std::to_string(start), "harm"), harmful);
    for (auto one = std::size_t{0}; one < innocent; ++one) {
      if (!served[one]) {
        auto name = std::to_string(one);
        auto id = "t" + name + "-" + std::to_string(start);
        pending[one] =
            fixture.send_to((one + start) % starts, "/turn/x", turn_headers(id, "p" + name), "hello");
      }
    }
    REQUIRE(fixture.run_until([&] {
      auto answered = [](const auto& response) { return !response || response->has_value(); };
      return harm->has_value() && std::all_of(pending.begin(), pending.end(), answered);
    }));
    for (auto one = std::size_t{0}; one < innocent; ++one) {
      served[one] = served[one] || (*pending[one])->complete_;
    }
  }
  REQUIRE(fixture.ended_upstreams() == max_ended);
  ask(fixture, 0, "/turn/x", turn_headers("h-last", "harm"), harmful);
  REQUIRE(fixture.ended_upstreams() == max_ended);
  REQUIRE(std::count(served.begin(), served.end(), true) == innocent);
}

// Guards against taking broken connections for crashes: the upstreams of this request run on.
TEST_CASE("a request whose connections are reset is sent again") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 1);
  for (auto attempt = 0; attempt < 4; ++attempt) {
    fixture.scripts_.push_back({script::kind::reset});
    ask(fixture, 0, "/unsafe/a", headers_of("r" + std::to_string(attempt)), "body");
  }
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r5"), "body").status_ == 200);
}

// Guards against taking an upstream that ended for a sound one because a supervisor holds its port open.
TEST_CASE("a turn that ends engines whose ports stay open reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.port_after_end_ = port_after_end::held;
  repeat(fixture, "/turn/x", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against the same for repeatable requests, which a daemon retries itself.
TEST_CASE("a repeatable request that ends upstreams whose ports stay open reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.port_after_end_ = port_after_end::held;
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against taking the next incarnation at the address, not listed yet, for the one that ended.
TEST_CASE("a request that ends upstreams that are back at once reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.port_after_end_ = port_after_end::reopens;
  repeat(fixture, "/safe/a", 6);
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against counting anew for each attempt when attempts have nothing in common but their content.
TEST_CASE("a request outside programs that ends its upstreams reaches three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    auto headers = headers_of("r" + std::to_string(attempt));
    headers.erase("X-Program-Id");
    headers.erase("X-Session-Id");
    ask(fixture, attempt % 3, "/safe/a", headers, harmful);
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against counting anew when another program or session starts the same turn.
TEST_CASE("a turn that other programs start again reaches three engines at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    auto number = std::to_string(attempt);
    auto headers = turn_headers("r" + number, "p" + number);
    headers["X-Session-Id"] = "s" + number;
    ask(fixture, attempt % 3, "/turn/x", headers, harmful);
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against forgetting the upstreams that ended under a call when an equal call of its program is
// served.
TEST_CASE("an equal call that is served does not clear the history of a harmful one") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.harmful_text_.clear();
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    auto number = std::to_string(attempt);
    auto headers = headers_of("h" + number);
    headers[harmful_header] = "1";
    ask(fixture, attempt % 3, "/unsafe/a", headers, "body");
    ask(fixture, (attempt + 1) % 3, "/unsafe/a", headers_of("i" + number), "body");
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

// Guards against sends without end while it can't be known whether the upstreams ended: they are silent, and
// callers leave before that shows.
TEST_CASE("a request whose callers leave silent upstreams is sent to three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.patience_ = 200;
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    fixture.scripts_ = {{script::kind::no_response}};
    ask(fixture, attempt % 3, "/unsafe/a", headers_of("r" + std::to_string(attempt)), "body");
    fixture.run_for(100);  // Until the daemon has seen its caller leave and told its peers.
  }
  REQUIRE(fixture.seen_.size() <= max_ended);
}

// Guards against rejecting a popular request for everyone: others of its content are served meanwhile.
TEST_CASE("content that is served is sent again after upstreams ended while they ran it") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.harmful_text_.clear();
  for (auto attempt = std::size_t{0}; attempt < 5; ++attempt) {
    auto number = std::to_string(attempt);
    auto headers = headers_of("h" + number, "harmful " + number);
    headers[harmful_header] = "1";
    ask(fixture, attempt % 3, "/unsafe/a", headers, "body");
    REQUIRE(ask(fixture, (attempt + 1) % 3, "/unsafe/a", headers_of("i" + number, number), "body").status_ ==
            200);
  }
}

// Guards against rejecting a popular request for everyone after a service failed as a whole: none of its
// requests is served then that would clear the content.
TEST_CASE("content is sent again after all upstreams of its service ended at once") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  constexpr auto callers = std::size_t{8};
  fixture.scripts_.assign(callers, {script::kind::end_process});
  auto pending = std::vector<std::shared_ptr<std::optional<received_response>>>{};
  for (auto caller = std::size_t{0}; caller < callers; ++caller) {
    auto number = std::to_string(caller);
    pending.push_back(
        fixture.send_to(caller % 3, "/unsafe/a", headers_of("r" + number, "p" + number), "body"));
  }
  REQUIRE(fixture.run_until([&] {
    return std::all_of(pending.begin(), pending.end(), [](const auto& one) { return one->has_value(); });
  }));
  REQUIRE(fixture.ended_upstreams() > max_ended);
  fixture.start_upstream("tool-9", "tool");
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r9", "p9"), "body").status_ == 200);
}

// Guards against rejecting everyone's request of a content because some callers left.
TEST_CASE("callers that leave a sound upstream do not limit others that ask for the same") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 2);
  fixture.patience_ = 100;
  fixture.answer_delay_ = 200;
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    auto number = std::to_string(attempt);
    ask(fixture, attempt % 2, "/unsafe/a", headers_of("r" + number, "p" + number), "body");
  }
  fixture.patience_ = 1000;
  REQUIRE(ask(fixture, 0, "/unsafe/a", headers_of("r9", "p9"), "body").status_ == 200);
}

// Guards against the same when, besides, each attempt comes from another program.
TEST_CASE("content whose callers leave silent upstreams is sent to three of them at most") {
  auto fixture = gateway_fixture{};
  start_fleet(fixture, 3);
  fixture.patience_ = 200;
  fixture.port_after_end_ = port_after_end::silent;
  for (auto attempt = std::size_t{0}; attempt < 6; ++attempt) {
    auto number = std::to_string(attempt);
    ask(fixture, attempt % 3, "/turn/x", turn_headers("r" + number, "p" + number), harmful);
    fixture.run_for(100);
  }
  REQUIRE(fixture.ended_upstreams() <= max_ended);
}

}  // namespace birchlever::test

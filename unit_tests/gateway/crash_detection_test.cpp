/// How the end of an upstream under a request is recognized, and where suspected requests are sent.
#include <catch2/catch.hpp>

#include "birchlever/gateway/crash_guard.h"
#include "birchlever/gateway/request_fingerprint.h"
#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

auto headers_of(const std::string& id) -> std::map<std::string, std::string> {
  return {{"X-Request-Id", id}, {"X-Program-Id", "p1"}, {"X-Session-Id", "s1"}, {"X-Deadline-Ms", "1200"}};
}

/// Returns the fingerprint of the requests that `ask` sends.
auto fingerprint() -> std::string {
  auto request = gateway_request{};
  request.message_ = http_request{http::verb::post, "/unsafe/a", 11};
  request.message_.set(http::field::host, "h.example");
  request.message_.body() = "body";
  request.metadata_.program_ = "p1";
  request.metadata_.session_ = "s1";
  return fingerprint_of(request);
}

/// Returns the fingerprint of their content.
auto content() -> std::string {
  auto request = gateway_request{};
  request.message_ = http_request{http::verb::post, "/unsafe/a", 11};
  request.message_.set(http::field::host, "h.example");
  request.message_.body() = "body";
  return content_fingerprint_of(request);
}

auto ask(gateway_fixture& fixture, const std::string& id) -> received_response {
  return fixture.send("/unsafe/a", headers_of(id), "body");
}

/// Sends a request that meets a script, and returns the name of the upstream that got it.
auto lose(gateway_fixture& fixture, script::kind kind) -> std::string {
  fixture.scripts_ = {{kind}};
  ask(fixture, "r1");
  return fixture.seen_.back().upstream_;
}

auto crashes_of(const gateway_fixture& fixture) -> int {
  return fixture.registers_.front()->history().confirmed_crashes(fingerprint());
}

}  // namespace

// Guards against missing the end of a server whose port was still open when its connections closed.
TEST_CASE("a port that closes shortly after its connections shows the end of the upstream") {
  auto fixture = gateway_fixture{};
  auto upstream = lose(fixture, script::kind::reset);
  REQUIRE(crashes_of(fixture) == 0);
  fixture.stop_listening(upstream);
  REQUIRE(fixture.run_until([&] { return crashes_of(fixture) == 1; }));
}

// Guards against missing the end of a server that starts again at its address, where the port is open at
// once.
TEST_CASE("an upstream that is listed at the address of another one has replaced it") {
  auto fixture = gateway_fixture{};
  auto upstream = lose(fixture, script::kind::reset);
  REQUIRE(crashes_of(fixture) == 0);
  fixture.add_upstream("tool-9", "tool", fixture.port_of(upstream));
  REQUIRE(fixture.run_until([&] { return crashes_of(fixture) == 1; }));
}

// Guards against missing the end of a server under requests that ran out of time.
TEST_CASE("an upstream that is listed with a later start has ended under a request without response") {
  auto fixture = gateway_fixture{};
  fixture.set_born("tool-1", 1);
  fixture.set_born("tool-2", 1);
  auto upstream = lose(fixture, script::kind::no_response);
  REQUIRE(crashes_of(fixture) == 0);
  fixture.set_born(upstream, 2);
  REQUIRE(fixture.run_until([&] { return crashes_of(fixture) == 1; }));
}

// Guards against sending a request to a third server while it is open whether two silent ones have ended.
TEST_CASE("a send without any sign of the upstream counts until the upstream responds") {
  auto fixture = gateway_fixture{};
  auto upstream = lose(fixture, script::kind::no_response);
  const auto& history = fixture.registers_.front()->history();
  REQUIRE(fixture.run_until([&] { return history.crashes(fingerprint()) == 1; }));
  REQUIRE(crashes_of(fixture) == 0);
  auto other = std::string{upstream == "tool-1" ? "tool-2" : "tool-1"};
  fixture.add_upstream(other, "tool", fixture.port_of(other), true);
  fixture.answer_delay_ = 50;  // Longer than what may still arrive from a process that ended.
  REQUIRE(fixture.send("/safe/b", headers_of("r2"), "").status_ == 200);
  REQUIRE(fixture.run_until([&] { return history.crashes(fingerprint()) == 0; }));
}

// Guards against suspected requests that end the same upstream together, so that the harmless one is blamed
// again.
TEST_CASE("suspected requests run apart while there is room") {
  auto fixture = gateway_fixture{};
  auto& crashes = *fixture.registers_.front();
  crashes.apply_peer_record({"another work", "u1", send_state::crashed});
  crashes.apply_peer_record({"another work", "tool-1", send_state::open});
  for (auto number = 0; number < 4; ++number) {
    crashes.apply_peer_record({fingerprint(), "u2", send_state::crashed});
    REQUIRE(ask(fixture, "r" + std::to_string(number)).status_ == 200);
    REQUIRE(fixture.seen_.back().upstream_ == "tool-2");
  }
  crashes.apply_peer_record({"another work", "tool-2", send_state::open});
  crashes.apply_peer_record({fingerprint(), "u2", send_state::crashed});
  REQUIRE(ask(fixture, "r9").status_ == 200);
}

// Guards against rejecting what ran beside a harmful request because the store is away after a restart.
TEST_CASE("while the store is down and a daemon may be lost work with one crash is still sent") {
  auto fixture = gateway_fixture{};
  fixture.context_->crash_guard_->set_loss_check([] { return true; });
  fixture.registers_.front()->apply_peer_record({fingerprint(), "u1", send_state::crashed});
  fixture.rows_->faults().down_ = true;
  REQUIRE(ask(fixture, "r1").status_ == 200);
}

// Guards against sends that are lost with all daemons, again and again, before anyone else knows of them.
TEST_CASE("while many daemons may be lost a running send is recorded") {
  auto fixture = gateway_fixture{};
  fixture.add_gateway();
  fixture.context_->crash_guard_->set_mass_loss_check([] { return true; });
  fixture.answer_delay_ = 600;
  auto response = fixture.send_to(0, "/unsafe/a", headers_of("r1"), "body");
  const auto& peer = fixture.registers_.back()->history();
  REQUIRE(fixture.run_until([&] { return peer.crashes(fingerprint()) == 1; }, 400));
  REQUIRE(fixture.run_until([&] { return fixture.registers_.back()->stored_rows() == 1; }, 400));
  REQUIRE(fixture.run_until([&] { return response->has_value(); }));
  REQUIRE((*response)->status_ == 200);
  REQUIRE(fixture.run_until([&] { return fixture.registers_.back()->stored_rows() == 0; }));
  REQUIRE(peer.crashes(fingerprint()) == 0);
}

// Guards against the same while the daemon probes the upstream that closed the connection.
TEST_CASE("while many daemons may be lost a lost send is recorded before its upstream is probed") {
  auto fixture = gateway_fixture{};
  fixture.add_gateway();
  fixture.context_->crash_guard_->set_mass_loss_check([] { return true; });
  fixture.scripts_ = {{script::kind::end_process}};
  fixture.send_to(0, "/unsafe/a", headers_of("r1"), "body");
  const auto& peer = fixture.registers_.back()->history();
  REQUIRE(fixture.run_until([&] { return peer.crashes(fingerprint()) == 1; }));
  REQUIRE(peer.confirmed_crashes(fingerprint()) == 0);
  REQUIRE(fixture.run_until([&] { return peer.confirmed_crashes(fingerprint()) == 1; }));
}

// Guards against the same when a caller leaves a silent upstream.
TEST_CASE("while many daemons may be lost a send whose caller left is stored at once") {
  auto fixture = gateway_fixture{};
  fixture.context_->crash_guard_->set_mass_loss_check([] { return true; });
  fixture.patience_ = 50;
  fixture.scripts_ = {{script::kind::no_response}};
  fixture.send_to(0, "/unsafe/a", headers_of("r1"), "body");
  const auto& crashes = *fixture.registers_.front();
  REQUIRE(fixture.run_until([&] { return crashes.history().crashes(fingerprint()) == 1; }));
  constexpr auto sooner_than_otherwise = milliseconds{100};
  REQUIRE(fixture.run_until([&] { return crashes.stored_rows() > 0; }, sooner_than_otherwise));
}

// Guards against a write for each request in normal operation.
TEST_CASE("a running send is not recorded unless many daemons may be lost") {
  auto fixture = gateway_fixture{};
  fixture.answer_delay_ = 600;
  auto commits = fixture.rows_->commits();
  REQUIRE(ask(fixture, "r1").status_ == 200);
  REQUIRE(fixture.rows_->commits() == commits);
}

// Guards against clearing a lost send by the response of another incarnation at the same address.
TEST_CASE("a rejection by the next incarnation does not show that the upstream lives") {
  auto fixture = gateway_fixture{};
  fixture.stop_listening("tool-2");
  fixture.context_->upstreams_->remove("tool-2");
  fixture.port_after_end_ = port_after_end::reopens;
  fixture.answer_delay_ = 50;
  lose(fixture, script::kind::end_process);
  ask(fixture, "r2");
  fixture.run_for(500);
  REQUIRE(fixture.registers_.front()->history().crashes(fingerprint()) == 1);
}

// Guards against forgetting a send because a later one to the same upstream did not reach it.
TEST_CASE("a send that does not reach its upstream does not settle an earlier one") {
  auto fixture = gateway_fixture{};
  fixture.context_->upstreams_->remove("tool-2");
  fixture.stop_listening("tool-1");
  fixture.registers_.front()->apply_peer_record({fingerprint(), "tool-1", send_state::open});
  REQUIRE(ask(fixture, "r1").status_ == 503);
  REQUIRE(fixture.registers_.front()->history().crashes(fingerprint()) == 1);
}

// Guards against the same for requests outside programs, whose sends only their content joins.
TEST_CASE("a send that does not reach its upstream does not settle an earlier one of its content") {
  auto fixture = gateway_fixture{};
  fixture.context_->upstreams_->remove("tool-2");
  fixture.stop_listening("tool-1");
  fixture.registers_.front()->apply_peer_record({content(), "tool-1", send_state::open});
  auto headers = headers_of("r1");
  headers.erase("X-Program-Id");
  headers.erase("X-Session-Id");
  REQUIRE(fixture.send("/unsafe/a", headers, "body").status_ == 503);
  REQUIRE(fixture.registers_.front()->history().crashes(content()) == 1);
}

}  // namespace birchlever::test

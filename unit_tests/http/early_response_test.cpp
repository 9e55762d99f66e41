/// Guards readers of responses against a connection that is reset while the request is still being written.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "birchlever/http/http_call.h"
#include "birchlever/http/outgoing_connection.h"
#include "unit_tests/http/loop_runner.h"
#include "unit_tests/http/raw_peer.h"

namespace birchlever {
namespace {

constexpr auto exchange_limit = milliseconds{8000};
constexpr auto settle_ms = milliseconds{30};          // For what is under way on the loopback interface.
constexpr auto upload_bytes = std::size_t{8} << 20U;  // Beyond the socket buffers of both sides.
constexpr auto most_body = std::size_t{1} << 20U;
constexpr auto part = "id: 1\ndata: e\n\n";
constexpr auto head_without_length = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// How the peer ends its response.
enum class response_end {
  reset,
  closed_unread,   ///< Closed with a part of the upload unread, so that the kernel resets the connection.
  ended,           ///< Properly, and the connection stays open.
  ended_and_reset  ///< Properly, and reset right after it.
};

/// Which coroutine learns first that the connection was reset.
enum class first_told { writer, reader, both_at_once };

auto end_response(raw_peer& peer, response_end how) -> void {
  switch (how) {
    case response_end::reset:
      peer.reset();
      break;
    case response_end::closed_unread:
      peer.close();
      break;
    case response_end::ended:
      peer.end();
      break;
    case response_end::ended_and_reset:
      peer.end();
      peer.reset();
      break;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{settle_ms});
}

auto fault_in(const exchanged<std::string>& got) -> std::optional<exchange_fault> {
  const auto* fault = std::get_if<exchange_fault>(&got);
  return fault == nullptr ? std::nullopt : std::optional{*fault};
}

/// A connection with a long upload under way, of which the peer has read the head.
struct early_response_fixture {
  early_response_fixture() {
    auto opened = run_to_end(loop_, outgoing_connection::open(loop_, peer_.address(), exchange_limit));
    REQUIRE(std::holds_alternative<std::shared_ptr<outgoing_connection>>(opened));
    connection_ = std::get<0>(opened);
    peer_.accept();
    auto request = std::make_shared<http_request>(http::verb::post, "/", 11);
    request->set(http::field::host, "server");
    request->body() = std::string(upload_bytes, 'x');
    request->prepare_payload();
    connection_->send(std::move(request), exchange_limit);
    run_loop_for(loop_, settle_ms);
    peer_.read_head();
  }

  auto read_response() -> task<exchanged<std::string>> {
    auto head = co_await connection_->read_head();
    if (auto* fault = std::get_if<exchange_fault>(&head)) {
      co_return *fault;
    }
    co_return co_await connection_->read_rest(most_body);
  }

  /// Reads the response up to its first piece, and its end once the peer has ended it. The loop does not run
  /// between the end and the read, so the writer has not been told.
  auto read_end_first(response_end how) -> task<exchanged<std::string>> {
    peer_.write(head_without_length);
    peer_.write(part);
    co_await connection_->read_head();
    auto first = co_await connection_->read_piece();
    end_response(peer_, how);
    auto rest = co_await connection_->read_rest(most_body);
    if (auto* fault = std::get_if<exchange_fault>(&rest)) {
      co_return *fault;
    }
    co_return std::get<body_piece>(first).bytes_ + std::get<std::string>(rest);
  }

  /// Ends the response while a coroutine waits for its head and another one for room to write.
  auto read_beside_writer(response_end how) -> exchanged<std::string> {
    auto outcome = std::optional<exchanged<std::string>>{};
    auto run = [](early_response_fixture& self, auto& into) -> task<> {
      into = co_await self.read_response();
    };
    start(loop_, "read_response", run(*this, outcome));
    run_loop_for(loop_, settle_ms);
    peer_.write(head_without_length);
    peer_.write(part);
    end_response(peer_, how);
    REQUIRE(run_loop_until(loop_, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  auto read(response_end how, first_told first) -> exchanged<std::string> {
    if (first == first_told::both_at_once) {
      return read_beside_writer(how);
    }
    if (first == first_told::reader) {
      return run_to_end(loop_, read_end_first(how));
    }
    peer_.write(head_without_length);
    peer_.write(part);
    end_response(peer_, how);
    run_loop_for(loop_, settle_ms);
    return run_to_end(loop_, read_response());
  }

  event_loop loop_{1};
  raw_peer peer_;
  std::shared_ptr<outgoing_connection> connection_;
};

const auto orders = {first_told::writer, first_told::reader, first_told::both_at_once};

}  // namespace

/// Failure: a part of a response without a length is taken for the whole of it, because the writer of the
/// request got the error of the reset connection and the reader only its end.
TEST_CASE("a response that is reset while the request is being written is broken", "[early_response]") {
  for (auto how : {response_end::reset, response_end::closed_unread}) {
    for (auto first : orders) {
      CAPTURE(how, first);
      auto fixture = early_response_fixture{};
      auto got = fixture.read(how, first);
      CHECK(fault_in(got) == exchange_fault::broken);
      CHECK_FALSE(fixture.connection_->reusable());
    }
  }
}

/// Failure: a whole response is taken for a broken one, or waits for an upload that nobody reads.
TEST_CASE("a response that ends properly while the request is being written is whole", "[early_response]") {
  for (auto how : {response_end::ended, response_end::ended_and_reset}) {
    for (auto first : orders) {
      CAPTURE(how, first);
      auto fixture = early_response_fixture{};
      auto started_at = steady_clock{}.now();
      auto got = fixture.read(how, first);
      REQUIRE(std::holds_alternative<std::string>(got));
      CHECK(std::get<std::string>(got) == part);
      CHECK(steady_clock{}.now() - started_at < exchange_limit / 4);
      CHECK_FALSE(fixture.connection_->reusable());
    }
  }
}

/// Failure: as for a reset, when the connection ends because the peer takes no more bytes of the request.
TEST_CASE("a response whose connection ends by the limit of silence is broken", "[early_response]") {
  auto fixture = early_response_fixture{};
  fixture.peer_.write(head_without_length);
  fixture.peer_.write(part);
  auto outcome = std::optional<exchanged<std::string>>{};
  auto run = [](early_response_fixture& self, auto& into) -> task<> { into = co_await self.read_response(); };
  start(fixture.loop_, "read_response", run(fixture, outcome));
  REQUIRE(run_loop_until(
      fixture.loop_, [&] { return outcome.has_value(); }, exchange_limit + 1000));
  CHECK(fault_in(*outcome) == exchange_fault::broken);
}

/// Failure: a call of the store or of another gateway takes a part of a response for the whole of it.
TEST_CASE("a whole call whose response is reset during a long upload is broken", "[early_response]") {
  auto loop = event_loop{1};
  auto peer = raw_peer{};
  auto pool = connection_pool::create(loop, {});
  auto request = std::make_shared<http_request>(http::verb::post, "/", 11);
  request->set(http::field::host, "server");
  request->body() = std::string(upload_bytes, 'x');
  request->prepare_payload();
  auto outcome = std::optional<exchanged<whole_answer>>{};
  auto run = [](task<exchanged<whole_answer>> call, auto& into) -> task<> {
    into = co_await std::move(call);
  };
  start(loop, "call_http",
        run(call_http(*pool, peer.address(), std::move(request), exchange_limit, most_body), outcome));
  run_loop_for(loop, settle_ms);
  peer.accept();
  peer.read_head();
  peer.write(std::string{"HTTP/1.1 200 OK\r\n\r\n"} + part);
  end_response(peer, response_end::reset);
  REQUIRE(run_loop_until(loop, [&] { return outcome.has_value(); }));
  auto* fault = std::get_if<exchange_fault>(&*outcome);
  REQUIRE(fault != nullptr);
  CHECK(*fault == exchange_fault::broken);
  CHECK_FALSE(pool->has_idle(peer.address(), exchange_limit));
}

}  // namespace birchlever

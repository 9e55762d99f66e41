/// Guards exchanges against pooled connections that went silent without being closed.
#include "birchlever/http/connection_pool.h"

#include <catch2/catch.hpp>

#include "birchlever/http/http_call.h"
#include "birchlever/http/http_listener.h"
#include "soak/tcp_proxy.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto call_limit = milliseconds{150};
constexpr auto max_body = std::size_t{1024};

/// A server that answers every request after a short delay, behind a link that can silence its connections.
struct silent_link_fixture {
  silent_link_fixture() {
    auto target = "127.0.0.1:" + std::to_string(free_port(loop_));
    auto page = [this](const http_request& /*request*/) -> task<http_response> {
      co_await pause_for(loop_, 20);
      co_return http_response{http::status::ok, 11};
    };
    auto listening = http_listener::create(loop_, target, serve_pages(page));
    REQUIRE(ok(listening));
    auto at = "127.0.0.1:" + std::to_string(free_port(loop_));
    auto link = soak::tcp_proxy::create(loop_, at, target);
    REQUIRE(ok(link));
    listener_ = value(listening);
    link_ = value(link);
    address_ = value(parse_address(at));
  }

  auto call() -> task<exchanged<whole_answer>> {
    auto request = std::make_shared<http_request>(http::verb::get, "/", 11);
    request->set(http::field::host, "server");
    return call_http(*pool_, address_, std::move(request), call_limit, max_body);
  }

  /// Leaves `count` idle connections in the pool.
  auto fill_pool(int count) -> void {
    auto answered = 0;
    auto run = [](task<exchanged<whole_answer>> pending, int& done) -> task<> {
      auto outcome = co_await std::move(pending);
      done += std::holds_alternative<whole_answer>(outcome) ? 1 : 0;
    };
    for (auto started = 0; started < count; ++started) {
      start(loop_, "fill_pool", run(call(), answered));
    }
    REQUIRE(run_loop_until(loop_, [&] { return answered == count; }));
  }

  event_loop loop_{1};
  std::shared_ptr<connection_pool> pool_ = connection_pool::create(loop_, {});
  std::shared_ptr<http_listener> listener_;
  std::shared_ptr<soak::tcp_proxy> link_;
  asio::ip::tcp::endpoint address_;
};

}  // namespace

/// Failure: every connection that was pooled before the link went silent takes another attempt until its
/// timeout.
TEST_CASE("after a timeout the next exchange does not use a connection that was idle before it") {
  auto fixture = silent_link_fixture{};
  fixture.fill_pool(4);
  fixture.link_->silence_open();
  auto lost = run_to_end(fixture.loop_, fixture.call());
  REQUIRE(std::get<exchange_fault>(lost) == exchange_fault::timed_out);
  auto next = run_to_end(fixture.loop_, fixture.call());
  CHECK(std::holds_alternative<whole_answer>(next));
}

}  // namespace birchlever

/// Guards blocking requests against pooled connections that went silent without being closed.
#include "birchlever/storage/http_connection_pool.h"

#include <catch2/catch.hpp>

#include "birchlever/http/http_listener.h"
#include "birchlever/http/loop_signal.h"
#include "soak/tcp_proxy.h"
#include "unit_tests/http/concurrent_calls.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_thread.h"

namespace birchlever {
namespace {

constexpr auto response_timeout = milliseconds{400};
constexpr auto idle_connections = 3;

/// A server behind a link that can silence its connections. Answers the requests that fill the pool once all
/// have arrived, and later ones at once.
struct silent_link_fixture {
  silent_link_fixture() {
    server_.run([this] {
      auto port = free_port(server_.loop());
      auto link_port = free_port(server_.loop());
      auto page = [this](const http_request& /*request*/) -> task<http_response> {
        ++arrived_;
        all_arrived_.notify();
        while (arrived_ < idle_connections) {
          co_await all_arrived_.wait_for(response_timeout);
        }
        co_return http_response{http::status::ok, 11};
      };
      auto target = "127.0.0.1:" + std::to_string(port);
      listener_ = value(http_listener::create(server_.loop(), target, serve_pages(page)));
      link_ =
          value(soak::tcp_proxy::create(server_.loop(), "127.0.0.1:" + std::to_string(link_port), target));
      target_ = {"127.0.0.1", link_port};
    });
    auto settings = http_pool_settings{};
    settings.response_timeout_ = response_timeout;
    pool_ = value(http_connection_pool::create(settings));
  }

  auto request() -> bool { return ok(pool_->request(target_, "GET", "/", {})); }

  loop_thread server_;  // Outlives what runs on its loop.
  loop_signal all_arrived_{server_.loop()};
  int arrived_ = 0;
  std::shared_ptr<http_listener> listener_;
  std::shared_ptr<soak::tcp_proxy> link_;
  endpoint target_;
  std::shared_ptr<http_connection_pool> pool_;
};

}  // namespace

/// Failure: every connection that was pooled before the link went silent costs another request its timeout.
TEST_CASE("after a blocking request without response the next one uses a new connection") {
  auto fixture = silent_link_fixture{};
  REQUIRE(call_concurrently(idle_connections, [&] { return fixture.request(); }));
  fixture.server_.run([&] { fixture.link_->silence_open(); });
  REQUIRE_FALSE(fixture.request());
  CHECK(fixture.request());
}

}  // namespace birchlever

/// Guards requests against pooled connections to an upstream that went silent without being closed.
#include <catch2/catch.hpp>

#include "birchlever/http/http_call.h"
#include "soak/tcp_proxy.h"
#include "unit_tests/gateway/gateway_fixture.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever::test {
namespace {

constexpr auto max_body = std::size_t{4096};

/// A gateway whose only plain upstream is behind a link that can silence its connections.
struct silent_upstream_fixture {
  silent_upstream_fixture() {
    auto& upstreams = *gateway_.context_->upstreams_;
    auto target = upstreams.find("tool-1")->entry().address_;
    upstreams.remove("tool-1");
    upstreams.remove("tool-2");
    auto port = free_port(gateway_.loop_);
    auto link = soak::tcp_proxy::create(gateway_.loop_, "127.0.0.1:" + std::to_string(port),
                                        "127.0.0.1:" + std::to_string(target.port()));
    REQUIRE(ok(link));
    link_ = value(link);
    gateway_.add_upstream("tool-3", "tool", port);
    address_ = {asio::ip::address_v4::loopback(), port};
  }

  /// Leaves `count` idle connections to the upstream in the gateway's pool.
  auto fill_pool(int count) -> void {
    auto answered = 0;
    auto call = [](connection_pool& pool, asio::ip::tcp::endpoint address, int& done) -> task<> {
      auto request = std::make_shared<http_request>(http::verb::get, "/safe/a", 11);
      request->set(http::field::host, "h.example");
      auto outcome = co_await call_http(pool, address, std::move(request), 1000, max_body);
      done += std::holds_alternative<whole_answer>(outcome) ? 1 : 0;
    };
    for (auto started = 0; started < count; ++started) {
      start(gateway_.loop_, "fill_pool", call(*gateway_.context_->upstream_connections_, address_, answered));
    }
    REQUIRE(run_loop_until(gateway_.loop_, [&] { return answered == count; }));
  }

  auto status_of(const std::string& id) -> int {
    return gateway_.send("/safe/a", {{"X-Request-Id", id}, {"X-Deadline-Ms", "1200"}}, "").status_;
  }

  gateway_fixture gateway_;
  std::shared_ptr<soak::tcp_proxy> link_;
  asio::ip::tcp::endpoint address_;
};

}  // namespace

/// Failure: each connection that was pooled before the link went silent costs another caller its deadline.
TEST_CASE(
    "after a request without any response the next one does not use a connection that was idle meanwhile") {
  auto fixture = silent_upstream_fixture{};
  fixture.fill_pool(3);
  fixture.link_->silence_open();
  REQUIRE(fixture.status_of("r1") == 504);
  CHECK(fixture.status_of("r2") == 200);
}

}  // namespace birchlever::test

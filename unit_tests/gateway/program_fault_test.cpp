/// Tests what a fault of the program, while it serves one request, does to the others.
#include <catch2/catch.hpp>
#include <stdexcept>

#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

/// Fails for requests to one path.
class failing_dialect final : public request_dialect {
 public:
  explicit failing_dialect(std::shared_ptr<request_dialect> inner) : inner_{std::move(inner)} {}

  [[nodiscard]] auto read_request(const http_request& request) const -> result<request_metadata> override {
    if (request.target() == "/safe/fault") {
      throw std::runtime_error{"a fault of the program"};
    }
    return inner_->read_request(request);
  }
  [[nodiscard]] auto read_response(const http_response& response) const -> response_metadata override {
    return inner_->read_response(response);
  }
  auto set_upstream_headers(http_request& request, const upstream_headers& headers) const -> void override {
    inner_->set_upstream_headers(request, headers);
  }
  auto strip_response(http_response& response) const -> void override { inner_->strip_response(response); }

 private:
  std::shared_ptr<request_dialect> inner_;
};

}  // namespace

// Guards against a caller that waits without end, and a stop that waits for a request that nothing serves any
// more.
TEST_CASE("a fault while a request is served closes its connection and counts it no longer") {
  auto fixture = gateway_fixture{};
  fixture.context_->dialect_ = std::make_shared<failing_dialect>(fixture.context_->dialect_);
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", "r1"}, {"X-Deadline-Ms", "1500"}};
  auto failed = fixture.send_to(0, "/safe/fault", headers, "");
  CHECK(fixture.run_until([&] { return failed->has_value(); }, 1000));
  CHECK((failed->has_value() && (*failed)->status_ == 0));
  CHECK(fixture.context_->in_flight_ == 0);
  headers["X-Request-Id"] = "r2";
  CHECK(fixture.send("/safe/a", headers, "").status_ == 200);
}

}  // namespace birchlever::test

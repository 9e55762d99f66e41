#include "birchlever/gateway/route_filter.h"

namespace birchlever {
namespace {

constexpr auto not_ready_retry_ms = milliseconds{300};

auto least_limit(const gateway_request& request) -> milliseconds {
  auto limit = request.facts_.time_left_.value_or(unlimited_ms);
  return request.route_->time_limit_ > 0 ? std::min(limit, request.route_->time_limit_) : limit;
}

}  // namespace

auto resolve_route(gateway_request& request) -> status {
  auto host = field_of(request.message_, "Host");
  auto target = request.message_.target();
  request.route_ = request.configuration_->find_route(host, {target.data(), target.size()});
  if (request.route_ == nullptr) {
    return error{error_code::unknown_route, "no route of this host begins the path"};
  }
  request.due_ = request.received_at_ + least_limit(request);
  const auto& subject =
      request.facts_.program_.empty() ? request.facts_.request_id_ : request.facts_.program_;
  request.service_ = service_for(*request.route_, subject);
  return success;
}

auto route_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!request.configuration_) {
    auto reason = error{error_code::not_ready, "no configuration is known here yet", ran_state::not_run,
                        not_ready_retry_ms};
    co_await refuse(*context_, request, reason);
    co_return;
  }
  auto facts = context_->dialect_->read_request(request.message_);
  if (ok(facts)) {
    request.facts_ = std::move(value(facts));
  }
  auto routed = resolve_route(request);
  if (ok(routed) && !ok(facts)) {  // An unknown route is told before a header that can't be read.
    routed = failure(facts);
  }
  if (!ok(routed)) {
    auto reason = failure(routed);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

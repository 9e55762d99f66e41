#include "birchlever/gateway/crash_filter.h"

#include "birchlever/gateway/crash_guard.h"
#include "birchlever/gateway/request_fingerprint.h"

namespace birchlever {

auto crash_filter::apply(gateway_request& request, next_filter next) -> task<> {
  request.fingerprint_ = fingerprint_of(request);
  request.content_fingerprint_ = content_fingerprint_of(request);
  auto reason = context_->crash_guard_ ? context_->crash_guard_->refusal(request) : std::nullopt;
  if (reason) {
    co_await refuse(*context_, request, *reason);
    co_return;
  }
  co_await next(request);
}

}  // namespace birchlever

/// The parts of shard_controller that let calls wait: for their predecessor, for their own answer, or for a
/// reply of an upstream.
#include <algorithm>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/shard_controller.h"
#include "birchlever/controllers/shard_replies.h"

namespace birchlever {
namespace {

constexpr auto probe_margin_ms = milliseconds{250};  // Added to the time within which a ticket may be used.

}  // namespace

auto shard_controller::probe_interval() const -> milliseconds {
  return context_->settings_.send_within_ms_ + probe_margin_ms;
}

auto shard_controller::add_waiting(const shared<open_request>& request, open_promise promise, bool own_answer)
    -> void {
  if (waiting_.size() >= static_cast<std::size_t>(context_->settings_.max_waiting_)) {
    promise.deliver(make_open_reply(error{error_code::overloaded, "too many calls are waiting for their turn",
                                          ran_state::not_run, 1000}));
    return;
  }
  auto now = context_->clock_->now();
  auto limit = own_answer ? request->order_.deadline_ : context_->settings_.order_wait_ms_;
  waiting_.emplace(program_key(request->order_.account_, request->order_.program_),
                   waiting_call{request, promise, now + limit, now + probe_interval(), own_answer});
}

auto shard_controller::retry_waiting(const std::string& account, const std::string& program) -> void {
  auto range = waiting_.equal_range(program_key(account, program));
  auto ready = std::vector<waiting_call>{};
  for (auto next = range.first; next != range.second; ++next) {
    ready.push_back(next->second);
  }
  waiting_.erase(range.first, range.second);
  std::sort(ready.begin(), ready.end(), [](const waiting_call& left, const waiting_call& right) {
    return left.request_->order_.number_ < right.request_->order_.number_;
  });
  for (auto& call : ready) {
    open(call.request_, call.promise_);
  }
}

auto shard_controller::expire_waiting() -> void {
  auto now = context_->clock_->now();
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    auto& waiting = next->second;
    const auto& order = waiting.request_->order_;
    if (waiting.own_answer_ && now >= waiting.probe_at_) {
      waiting.probe_at_ = now + probe_interval();
      const auto* owner = ledger_->find(order.account_, order.program_);
      auto call = owner == nullptr ? decltype(owner->calls_.end()){} : owner->calls_.find(order.number_);
      if (owner != nullptr && call != owner->calls_.end() && !call->second.upstream_.empty()) {
        auto query = std::make_shared<probe_message>();
        *query = {order.account_,
                  order.program_,
                  order.number_,
                  call->second.upstream_,
                  call->second.key_,
                  call->second.sequence_,
                  !waiting.request_->service_.empty()};
        send(upstream_worker_, probe_atom::value, shared<probe_message>{query});
      }
    }
    if (now < waiting.times_out_at_) {
      ++next;
      continue;
    }
    auto code = waiting.own_answer_ ? error_code::call_in_progress : error_code::call_out_of_order;
    auto state = waiting.own_answer_ ? ran_state::outcome_unknown : ran_state::not_run;
    waiting.promise_.deliver(make_open_reply(
        error{code, "call " + std::to_string(order.number_) + " timed out waiting for its turn", state,
              owner_retry_ms}));
    next = waiting_.erase(next);
  }
}

auto shard_controller::resolve(const shared<open_request>& request, open_promise promise,
                               const open_resolve& query) -> void {
  auto& promises = resolving_[query.key_];
  promises.push_back(promise);
  if (promises.size() > 1) {
    return;
  }
  auto message = std::make_shared<probe_message>();
  *message = {request->order_.account_,
              request->order_.program_,
              request->order_.number_,
              query.upstream_,
              query.key_,
              0,
              true};
  send(upstream_worker_, probe_atom::value, shared<probe_message>{message});
}

}  // namespace birchlever

#include "birchlever/gateway/turn_filter.h"

#include "birchlever/coordination/program_store.h"
#include "birchlever/gateway/caller_patience.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

/// Tokens that were handed to the caller.
auto tokens_of(const gateway_request& request) -> std::int64_t {
  const auto* service = request.configuration_->find_service(request.service_);
  auto known = service != nullptr && service->engine_;
  auto tokens = request.relayed_.events_ * (known ? service->engine_->tokens_per_event_ : 1);
  return std::min(tokens, std::max<std::int64_t>(request.facts_.most_tokens_, 0));
}

/// A turn outside a program stands alone under its own id.
auto program_of(const gateway_request& request) -> scoped_name {
  const auto& facts = request.facts_;
  auto name = facts.program_.empty() ? "single_" + facts.request_id_ : facts.program_;
  return {request.account_name(), std::move(name)};
}

/// How long any turn may take; a program may go on through another route.
auto longest_turn(const serving_configuration& configuration) -> milliseconds {
  auto longest = milliseconds{0};
  for (const auto& one : configuration.routes_) {
    auto limit = one.time_limit_ > 0 ? one.time_limit_ : unlimited_ms;
    longest = one.retains_turns_ ? std::max(longest, limit) : longest;
  }
  return longest;
}

auto turn_end_of(const gateway_request& request, const scoped_name& program) -> turn_completion {
  auto ended = turn_completion{};
  ended.program_ = program;
  ended.turn_ = request.facts_.request_id_;
  ended.reservation_ = request.reservation_;
  ended.tokens_ = tokens_of(request);
  ended.max_tokens_ = request.facts_.most_tokens_;
  ended.budget_ = request.facts_.budget_;
  ended.max_next_duration_ = longest_turn(*request.configuration_);
  return ended;
}

}  // namespace

auto turn_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!request.route_->retains_turns_) {
    co_await run_unkept(request, std::move(next));
    co_return;
  }
  auto program = program_of(request);
  auto order = turn_request{program,
                            request.facts_.request_id_,
                            request.facts_.previous_turn_,
                            request.facts_.budget_,
                            request.facts_.most_tokens_,
                            request.message_.body()};
  auto input = request.message_.body();
  auto began = context_->clock_.now();
  auto patient_until = request.received_at_ + stream_patience(request, context_->trust_.stream_hold_ms_);
  order.max_wait_ = std::max<milliseconds>(patient_until - began, 0);
  order.overdue_ = request.facts_.program_time_left_ && *request.facts_.program_time_left_ <= 0;
  auto granted = co_await context_->programs_->begin_turn(std::move(order), request.due_ - began);
  context_->metrics_->observe("turn_begin_ms", static_cast<double>(context_->clock_.now() - began));
  if (!ok(granted)) {
    auto reason = failure(granted);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  request.message_.body() = std::move(value(granted).prompt_);
  request.last_upstream_ = std::move(value(granted).last_upstream_);
  request.reservation_ = std::move(value(granted).reservation_);
  const auto& foreign = value(granted).inherited_history_;
  auto kept =
      turn_record{foreign.empty() ? request.facts_.previous_turn_ : std::string{}, foreign + input, "", ""};
  request.before_end_ = [this, program, kept = std::move(kept)](gateway_request& ended) {
    return keep_answer(ended, program, kept);
  };
  co_await next(request);
  if (!request.relayed_.reached_upstream_) {
    context_->programs_->cancel_turn(program, request.reservation_);
  } else if (!request.relayed_.whole_) {
    settle_broken(request, program);
  }
}

auto turn_filter::run_unkept(gateway_request& request, next_filter next) -> task<> {
  if (!request.facts_.budget_) {
    co_await next(request);
    co_return;
  }
  auto program = program_of(request);
  auto most = request.facts_.most_tokens_;
  auto order = turn_request{program, request.facts_.request_id_, "", request.facts_.budget_, most, ""};
  auto began = context_->clock_.now();
  auto drawn = co_await context_->programs_->draw_budget(std::move(order), request.due_ - began);
  context_->metrics_->observe("turn_begin_ms", static_cast<double>(context_->clock_.now() - began));
  if (!ok(drawn)) {
    auto reason = failure(drawn);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  request.granted_tokens_ = value(drawn);
  co_await next(request);
  context_->programs_->return_tokens(program, value(drawn) - tokens_of(request));
}

auto turn_filter::keep_answer(gateway_request& request, const scoped_name& program, turn_record kept)
    -> task<bool> {
  auto ended = turn_end_of(request, program);
  kept.output_ = request.relayed_.output_;
  kept.upstream_ = request.relayed_.upstream_;
  ended.record_ = std::move(kept);
  auto began = context_->clock_.now();
  auto stored = co_await context_->programs_->end_turn(std::move(ended), request.due_ - began);
  context_->metrics_->observe("turn_end_ms", static_cast<double>(context_->clock_.now() - began));
  if (!ok(stored)) {
    log_event(log_level::warning, "answer_not_kept",
              {{"request", request.facts_.request_id_},
               {"program", program.name_},
               {"detail", failure(stored).detail_}});
  }
  co_return ok(stored);
}

auto turn_filter::settle_broken(gateway_request& request, const scoped_name& program) -> void {
  auto ended = turn_end_of(request, program);
  auto programs = context_->programs_;
  auto settle = [](std::shared_ptr<program_store> store, turn_completion end) -> task<> {
    constexpr auto patience_ms = milliseconds{60000};
    auto settled = co_await store->end_turn(std::move(end), patience_ms);
    if (!ok(settled)) {
      log_failure(log_level::warning, "broken_turn_not_settled", failure(settled));
    }
  };
  start(*context_->loop_, "settle_broken", settle(programs, std::move(ended)));
}

}  // namespace birchlever

#include "birchlever/gateway/turn_filter.h"

#include "birchlever/coordination/program_store.h"
#include "birchlever/core/memory_budget.h"
#include "birchlever/gateway/hold_limit.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

/// Returns the number of tokens that were relayed to the caller.
auto relayed_tokens(const gateway_request& request) -> std::int64_t {
  const auto* service = request.configuration_->find_service(request.service_);
  auto known = service != nullptr && service->engine_;
  auto tokens = request.relayed_.events_ * (known ? service->engine_->tokens_per_event_ : 1);
  return std::min(tokens, std::max<std::int64_t>(request.metadata_.max_tokens_, 0));
}

/// Returns the program of a turn. A turn outside any program gets a program of its own.
auto program_of(const gateway_request& request) -> scoped_name {
  const auto& metadata = request.metadata_;
  auto name = metadata.program_.empty() ? "single_" + metadata.request_id_ : metadata.program_;
  return {request.account_name(), std::move(name)};
}

/// Returns the maximum duration of a turn on any route, since a program may use several routes.
auto max_turn_duration(const serving_configuration& configuration) -> milliseconds {
  auto max_duration = milliseconds{0};
  for (const auto& candidate : configuration.routes_) {
    auto limit = candidate.time_limit_ > 0 ? candidate.time_limit_ : default_time_limit_ms;
    max_duration = candidate.retains_turns_ ? std::max(max_duration, limit) : max_duration;
  }
  return max_duration;
}

auto make_turn_end(const gateway_request& request, const scoped_name& program) -> turn_completion {
  auto ended = turn_completion{};
  ended.program_ = program;
  ended.turn_ = request.metadata_.request_id_;
  ended.reservation_ = request.reservation_;
  ended.tokens_ = relayed_tokens(request);
  ended.max_tokens_ = request.metadata_.max_tokens_;
  ended.budget_ = request.metadata_.budget_;
  ended.max_next_duration_ = max_turn_duration(*request.configuration_);
  return ended;
}

}  // namespace

auto turn_filter::apply(gateway_request& request, next_filter next) -> task<> {
  if (!request.route_->retains_turns_) {
    co_await run_without_history(request, std::move(next));
    co_return;
  }
  auto program = program_of(request);
  auto hold_until =
      request.received_at_ + max_stream_hold(request, context_->freshness_limits_.min_stream_hold_ms_);
  auto previous_turn = scoped_name{program.account_, request.metadata_.previous_turn_};
  auto claimed = co_await claim_history(request, previous_turn, std::min(hold_until, request.deadline_));
  if (!claimed) {
    co_await refuse_for_memory(*context_, request);
    co_return;
  }
  auto order = turn_request{program,
                            request.metadata_.request_id_,
                            request.metadata_.previous_turn_,
                            request.metadata_.budget_,
                            request.metadata_.max_tokens_,
                            request.message_.body()};
  auto input = request.message_.body();
  auto started_at = context_->clock_.now();
  order.max_wait_ = std::max<milliseconds>(hold_until - started_at, 0);
  order.overdue_ = request.metadata_.program_time_left_ && *request.metadata_.program_time_left_ <= 0;
  auto granted = co_await context_->programs_->begin_turn(std::move(order), request.deadline_ - started_at);
  context_->metrics_->observe("turn_begin_ms", static_cast<double>(context_->clock_.now() - started_at));
  if (!ok(granted)) {
    auto reason = failure(granted);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  request.message_.body() = std::move(value(granted).prompt_);
  request.claim_memory();
  request.last_upstream_ = std::move(value(granted).last_upstream_);
  request.reservation_ = std::move(value(granted).reservation_);
  const auto& foreign_history = value(granted).inherited_history_;
  auto record = turn_record{foreign_history.empty() ? request.metadata_.previous_turn_ : std::string{},
                            foreign_history + input, "", ""};
  request.before_stream_end_ = [this, program, record = std::move(record)](gateway_request& ended) {
    return store_response(ended, program, record);
  };
  co_await next(request);
  if (!request.relayed_.reached_upstream_) {
    context_->programs_->cancel_turn(program, request.reservation_);
  } else if (!request.relayed_.complete_) {
    settle_interrupted(request, program);
  }
}

auto turn_filter::claim_history(gateway_request& request, const scoped_name& previous_turn,
                                milliseconds wait_until) -> task<bool> {
  constexpr auto check_gap = milliseconds{10};
  auto& budget = *context_->memory_;
  auto& claim = *request.memory_;
  while (!previous_turn.name_.empty()) {
    auto bytes = request.memory_with_history(context_->programs_->expected_history(previous_turn));
    if (budget.has_room_for(claim, bytes) || budget.may_exceed(claim)) {
      claim.resize(bytes);
      break;
    }
    if (context_->clock_.now() >= wait_until || request.connection_->gone()) {
      co_return false;
    }
    claim.wait_for_room();
    co_await pause_for(*context_->loop_, check_gap);
    budget.make_room();
  }
  co_return true;
}

auto turn_filter::run_without_history(gateway_request& request, next_filter next) -> task<> {
  if (!request.metadata_.budget_) {
    co_await next(request);
    co_return;
  }
  auto program = program_of(request);
  auto max_tokens = request.metadata_.max_tokens_;
  auto order =
      turn_request{program, request.metadata_.request_id_, "", request.metadata_.budget_, max_tokens, ""};
  auto started_at = context_->clock_.now();
  auto drawn = co_await context_->programs_->draw_budget(std::move(order), request.deadline_ - started_at);
  context_->metrics_->observe("turn_begin_ms", static_cast<double>(context_->clock_.now() - started_at));
  if (!ok(drawn)) {
    auto reason = failure(drawn);
    co_await refuse(*context_, request, reason);
    co_return;
  }
  request.granted_tokens_ = value(drawn);
  co_await next(request);
  context_->programs_->return_tokens(program, value(drawn) - relayed_tokens(request));
}

auto turn_filter::store_response(gateway_request& request, const scoped_name& program, turn_record record)
    -> task<bool> {
  auto ended = make_turn_end(request, program);
  record.output_ = request.relayed_.output_;
  record.upstream_ = request.relayed_.upstream_;
  ended.record_ = std::move(record);
  auto started_at = context_->clock_.now();
  auto stored = co_await context_->programs_->end_turn(std::move(ended), request.deadline_ - started_at);
  context_->metrics_->observe("turn_end_ms", static_cast<double>(context_->clock_.now() - started_at));
  if (!ok(stored)) {
    log_event(log_level::warning, "response_not_stored",
              {{"request", request.metadata_.request_id_},
               {"program", program.name_},
               {"detail", failure(stored).detail_}});
  }
  co_return ok(stored);
}

auto turn_filter::settle_interrupted(gateway_request& request, const scoped_name& program) -> void {
  auto ended = make_turn_end(request, program);
  auto programs = context_->programs_;
  auto settle = [](std::shared_ptr<program_store> store, turn_completion end) -> task<> {
    constexpr auto max_wait_ms = milliseconds{60000};
    auto settled = co_await store->end_turn(std::move(end), max_wait_ms);
    if (!ok(settled)) {
      log_failure(log_level::warning, "interrupted_turn_not_settled", failure(settled));
    }
  };
  start(*context_->loop_, "settle_interrupted", settle(programs, std::move(ended)));
}

}  // namespace birchlever

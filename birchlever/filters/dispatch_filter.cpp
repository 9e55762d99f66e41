#include "birchlever/filters/dispatch_filter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/core/test_switches.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_exchange.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto accepted_status = 200;
constexpr auto stale_fence_status = 409;
constexpr auto refused_status = 503;

/// Returns the request body for the upstream, with the ticket's token limit and the text to resume after.
auto body_for(const request_context& context, const std::string& received_text) -> std::string {
  if (!context.open_.service_.empty()) {
    return context.upstream_body_;
  }
  auto body = json::parse(context.upstream_body_);
  body["max_tokens"] = context.ticket_.call_.max_tokens_;
  if (!received_text.empty()) {
    body["resume_text"] = received_text;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto request_for(const request_context& context, const std::string& received_text) -> upstream_request {
  auto request = upstream_request{};
  const auto& ticket = context.ticket_;
  const auto& order = context.open_.order_;
  auto service = !context.open_.service_.empty();
  request.target_ = ticket.address_;
  request.path_ = service ? "/" + context.service_path_ : "/v1/chat/completions";
  request.body_ = body_for(context, received_text);
  request.headers_ = {{"birchlever-key", ticket.call_.key_},
                      {"birchlever-fence", std::to_string(ticket.call_.sequence_)},
                      {"birchlever-session", order.account_ + "/" + order.program_},
                      {"birchlever-priority", std::to_string(ticket.priority_)},
                      {"birchlever-call", std::to_string(order.number_)},
                      {"birchlever-repeatable", order.repeatable_ ? "yes" : "no"},
                      {"traceparent", context.trace_.to_header()}};
  return request;
}

}  // namespace

dispatch_filter::dispatch_filter(std::shared_ptr<daemon_context> context,
                                 std::shared_ptr<owner_gateway> gateway)
    : context_{std::move(context)},
      gateway_{std::move(gateway)},
      retries_{static_cast<double>(context_->settings_.retry_share_percent_)} {}

auto dispatch_filter::apply(request_context& context) -> filter_result {
  retries_.earn();
  context.attempts_left_ = static_cast<int>(context_->settings_.attempts_);
  context.open_.traceparent_ = context.trace_.to_header();
  while (true) {
    --context.attempts_left_;
    switch (attempt(context, "")) {
      case attempt_result::accepted:
        return filter_result::proceed;
      case attempt_result::answered:
        return filter_result::answered;
      case attempt_result::retry:
        break;
    }
  }
}

auto dispatch_filter::resend(request_context& context, const std::string& received_text) -> filter_result {
  context.open_.avoid_.push_back(context.ticket_.upstream_);
  while (context.attempts_left_ > 0 && retries_.spend()) {
    --context.attempts_left_;
    auto end = attempt(context, received_text);
    if (end == attempt_result::accepted) {
      return filter_result::proceed;
    }
    if (end == attempt_result::answered) {
      return filter_result::answered;
    }
  }
  return refuse(
      context, {error_code::upstream_failed,
                "upstream response was interrupted and the retry budget is exhausted", ran_state::ran, 1000});
}

auto dispatch_filter::attempt(request_context& context, const std::string& received_text) -> attempt_result {
  auto remaining = context.deadline_at_ - context_->clock_->now();
  if (remaining <= 0) {
    refuse(context, {error_code::deadline_exceeded, "deadline exceeded before the call was sent"});
    return attempt_result::answered;
  }
  context.open_.order_.deadline_ = remaining;
  auto started_at = context_->clock_->now();
  auto span = scoped_span{*context_->traces_, context.trace_, "entry.open"};
  auto reply = gateway_->open(context.open_);
  context_->metrics_->observe("owner_open_ms", static_cast<double>(context_->clock_->now() - started_at));
  if (!ok(reply)) {
    context.failure_ = failure(reply);
    return attempt_result::answered;
  }
  if (auto* replayed = std::get_if<replayed_answer>(&value(reply))) {
    context.replay_ = std::move(replayed->answer_);
    return attempt_result::answered;
  }
  context.ticket_ = std::get<dispatch_ticket>(value(reply));
  context.ticket_usable_until_ = started_at + context.ticket_.waited_ + context.ticket_.send_within_;
  return send(context, received_text);
}

auto dispatch_filter::send(request_context& context, const std::string& received_text) -> attempt_result {
  auto span = scoped_span{*context_->traces_, context.trace_, "entry.send"};
  span.tag("upstream", context.ticket_.upstream_);
  auto max_wait = std::min(context_->settings_.upstream_wait_ms_,
                           std::max<milliseconds>(1, context.deadline_at_ - context_->clock_->now()));
  auto request = request_for(context, received_text);
  auto check_age = test_switches::instance().mechanism_on("ticket_age");
  if (check_age && context_->clock_->now() > context.ticket_usable_until_) {
    return handle_refusal(context, {error_code::lease_lost, "ticket expired before the call was sent"});
  }
  context.exchange_ = upstream_exchange::start(context_->stream_pool_, std::move(request));
  auto status = context.exchange_->wait_status(max_wait);
  if (!ok(status)) {
    auto reason = failure(status);
    return reason.ran_ == ran_state::not_run ? handle_refusal(context, reason)
                                             : handle_failure(context, reason);
  }
  auto service = !context.open_.service_.empty();
  if (value(status) == accepted_status) {
    report_accepted(context);
    return attempt_result::accepted;
  }
  if (value(status) == stale_fence_status) {
    return handle_refusal(context, {error_code::stale_fence, "upstream has seen a newer fencing token"});
  }
  if (value(status) == refused_status) {
    return handle_refusal(context, {error_code::upstream_refused, "upstream rejected the call"});
  }
  if (service) {
    report_accepted(context);
    return attempt_result::accepted;  // Any other status of a plain service is its answer.
  }
  if (value(status) == 404) {
    settle_later(context, call_outcome::not_run);
    refuse(context, {error_code::unknown_model, "engine does not serve model " + context.open_.model_});
    return attempt_result::answered;
  }
  return handle_failure(
      context, {error_code::upstream_failed, "engine responded with status " + std::to_string(value(status)),
                ran_state::outcome_unknown});
}

auto dispatch_filter::handle_refusal(request_context& context, error reason) -> attempt_result {
  context_->metrics_->count("upstream_refusals_total");
  if (context.attempts_left_ > 0 && retries_.spend()) {
    prepare_retry(context, call_outcome::not_run);
    return attempt_result::retry;  // Not run, so a retry is safe even if the call is not repeatable.
  }
  settle_later(context, call_outcome::not_run);
  reason.ran_ = ran_state::not_run;
  reason.retry_after_ms_ = 1000;
  refuse(context, std::move(reason));
  return attempt_result::answered;
}

auto dispatch_filter::handle_failure(request_context& context, error reason) -> attempt_result {
  context.may_have_run_ = true;
  context_->metrics_->count("upstream_failures_total");
  auto repeatable =
      context.open_.order_.repeatable_ || !test_switches::instance().mechanism_on("at_most_once");
  if (repeatable && context.attempts_left_ > 0 && retries_.spend()) {
    prepare_retry(context, call_outcome::failed);
    return attempt_result::retry;
  }
  settle_later(context, call_outcome::failed);
  if (!context.open_.order_.repeatable_) {
    reason.code_ = error_code::outcome_unknown;
    reason.detail_ += "; the call is not repeatable";
  }
  reason.ran_ = ran_state::outcome_unknown;
  refuse(context, std::move(reason));
  return attempt_result::answered;
}

/// Reports the failed attempt first: the owner issues the next ticket only once it knows the outcome.
auto dispatch_filter::prepare_retry(request_context& context, call_outcome outcome) -> void {
  (void)settle(context, outcome, 0, 0, "");
  context.open_.avoid_.push_back(context.ticket_.upstream_);
  context.open_.request_id_ += "+";
}

auto dispatch_filter::settle_later(const request_context& context, call_outcome outcome) -> void {
  if (!test_switches::instance().mechanism_on("prompt_word")) {
    (void)settle(context, outcome, 0, 0, "");
    return;
  }
  gateway_->settle_later(make_settle_request(context, outcome, 0, 0, ""));
}

auto dispatch_filter::report_accepted(const request_context& context) -> void {
  const auto& order = context.open_.order_;
  const auto& ticket = context.ticket_;
  gateway_->accepted({order.account_, order.program_, order.number_, ticket.call_.sequence_,
                      ticket.call_.epoch_, order.digest_, ticket.call_.max_tokens_, order.repeatable_,
                      ticket.upstream_});
}

auto dispatch_filter::settle(const request_context& context, call_outcome outcome, std::int64_t tokens,
                             std::int64_t cached_tokens, const std::string& answer) -> settle_reply {
  auto span = scoped_span{*context_->traces_, context.trace_, "entry.settle"};
  return gateway_->settle(make_settle_request(context, outcome, tokens, cached_tokens, answer));
}

auto dispatch_filter::make_settle_request(const request_context& context, call_outcome outcome,
                                          std::int64_t tokens, std::int64_t cached_tokens,
                                          const std::string& answer) const -> settle_request {
  const auto& order = context.open_.order_;
  const auto& ticket = context.ticket_;
  auto request = settle_request{};
  request.report_ = {order.account_,         order.program_,    order.number_, ticket.call_.epoch_,
                     ticket.call_.sequence_, outcome,           tokens,        ticket.call_.max_tokens_,
                     order.digest_,          order.repeatable_, answer,        ticket.upstream_};
  request.report_.ephemeral_ = order.ephemeral_;
  request.prompt_tokens_ = order.prompt_tokens_;
  request.cached_tokens_ = cached_tokens;
  request.last_ = context.last_ && outcome == call_outcome::answered;
  return request;
}

}  // namespace birchlever

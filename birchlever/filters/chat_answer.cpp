#include "birchlever/filters/chat_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/filters/dispatch_filter.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/upstream/upstream_exchange.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto event_end = std::string_view{"\n\n"};
constexpr auto data_prefix = std::string_view{"data: "};
constexpr auto stream_end = std::string_view{"[DONE]"};

auto dump(const json& body) -> std::string {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto event_of(const json& body) -> std::string {
  return std::string{data_prefix} + dump(body) + std::string{event_end};
}

auto done_event() -> std::string {
  return std::string{data_prefix} + std::string{stream_end} + std::string{event_end};
}

/// Returns the last events of a stream: finish reason, usage and the end marker.
auto final_events(const json& answer) -> std::string {
  const auto& choice = answer.at("choices").at(0);
  auto body = json{
      {"id", answer.at("id")},
      {"object", "chat.completion.chunk"},
      {"model", answer.at("model")},
      {"choices", {{{"index", 0}, {"delta", json::object()}, {"finish_reason", choice.at("finish_reason")}}}},
      {"usage", answer.at("usage")}};
  return event_of(body) + done_event();
}

}  // namespace

chat_answer::chat_answer(std::shared_ptr<daemon_context> daemon, dispatch_filter& dispatcher,
                         std::shared_ptr<request_context> context)
    : daemon_{std::move(daemon)}, dispatcher_{dispatcher}, context_{std::move(context)} {}

auto chat_answer::remaining_wait() const -> milliseconds {
  auto left = context_->deadline_at_ - daemon_->clock_->now();
  return std::clamp<milliseconds>(left, 1, daemon_->settings_.upstream_wait_ms_);
}

auto chat_answer::handle_data(const std::string& data, const std::string& event) -> std::string {
  if (data == stream_end) {
    return {};
  }
  auto body = json::parse(data, nullptr, false);
  if (!body.is_object()) {
    return {};
  }
  completion_id_ = body.value("id", completion_id_);
  if (body.contains("usage") && body["usage"].is_object()) {
    tokens_ = body["usage"].value("completion_tokens", std::int64_t{0});
    cached_tokens_ = body["usage"].value("cached_tokens", std::int64_t{0});
  }
  auto has_choice = body.contains("choices") && body["choices"].is_array() && !body["choices"].empty();
  if (!has_choice) {
    return {};
  }
  const auto& choice = body["choices"][0];
  if (choice.contains("delta") && choice["delta"].contains("content") &&
      choice["delta"]["content"].is_string()) {
    text_ += choice["delta"]["content"].get<std::string>();
  }
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    finish_reason_ = choice["finish_reason"].get<std::string>();
    finish_seen_ = true;
    return {};
  }
  return event;
}

auto chat_answer::handle_event(const std::string& event) -> std::string {
  if (event.compare(0, data_prefix.size(), data_prefix) != 0) {
    return {};
  }
  auto data = event.substr(data_prefix.size(), event.size() - data_prefix.size() - event_end.size());
  return handle_data(data, event);
}

auto chat_answer::recorded_answer() const -> std::string {
  const auto& order = context_->open_.order_;
  auto body = json{{"id", completion_id_},
                   {"object", "chat.completion"},
                   {"model", context_->open_.model_},
                   {"choices",
                    {{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text_}}},
                      {"finish_reason", finish_reason_}}}},
                   {"usage",
                    {{"prompt_tokens", order.prompt_tokens_},
                     {"completion_tokens", tokens_},
                     {"cached_tokens", cached_tokens_},
                     {"total_tokens", order.prompt_tokens_ + tokens_}}},
                   {"birchlever",
                    {{"program", order.program_},
                     {"call", order.number_},
                     {"upstream", context_->ticket_.upstream_},
                     {"policy", context_->ticket_.policy_},
                     {"epoch", context_->ticket_.call_.epoch_}}}};
  return dump(body);
}

auto chat_answer::finish() -> result<std::string> {
  stage_ = stage::ended;
  auto answer = recorded_answer();
  auto settled = dispatcher_.settle(*context_, call_outcome::answered, tokens_, cached_tokens_, answer);
  if (!ok(settled)) {
    return failure(settled);
  }
  const auto& recorded = value(settled).answer_;
  answer_ = recorded.empty() ? answer : recorded;
  auto same_text =
      recorded.empty() || json::parse(recorded).at("choices").at(0).at("message").at("content") == text_;
  if (!same_text) {
    return error{error_code::call_mismatch,
                 "another attempt of this call was recorded first; retry to receive its answer",
                 ran_state::ran, 1};
  }
  return final_events(json::parse(answer_));
}

auto chat_answer::resume(const error& reason) -> result<std::string> {
  daemon_->metrics_->count("streams_broken_total");
  context_->may_have_run_ = true;
  const auto& order = context_->open_.order_;
  if (!order.repeatable_) {
    stage_ = stage::ended;
    dispatcher_.settle_later(*context_, call_outcome::failed);
    return error{error_code::outcome_unknown, reason.detail_ + "; the call is not repeatable",
                 ran_state::outcome_unknown};
  }
  (void)dispatcher_.settle(*context_, call_outcome::failed, 0, 0, "");
  context_->open_.request_id_ += "+";
  buffer_.clear();
  auto outcome = dispatcher_.resend(*context_, text_);
  if (outcome == filter_result::proceed) {
    daemon_->metrics_->count("streams_resumed_total");
    return std::string{};
  }
  stage_ = stage::ended;
  if (context_->replay_) {
    answer_ = *context_->replay_;
    auto recorded_text =
        json::parse(answer_).at("choices").at(0).at("message").at("content").get<std::string>();
    if (recorded_text.compare(0, text_.size(), text_) == 0) {
      auto rest =
          json{{"id", completion_id_},
               {"object", "chat.completion.chunk"},
               {"choices", {{{"index", 0}, {"delta", {{"content", recorded_text.substr(text_.size())}}}}}}};
      return event_of(rest) + final_events(json::parse(answer_));
    }
  }
  return context_->with_accurate_run_state(context_->failure_.value_or(reason));
}

auto chat_answer::advance() -> result<std::string> {
  auto chunk = context_->exchange_->next(remaining_wait());
  if (!ok(chunk)) {
    return resume(failure(chunk));
  }
  buffer_ += value(chunk).bytes_;
  auto forward = std::string{};
  auto end = buffer_.find(event_end);
  while (end != std::string::npos) {
    forward += handle_event(buffer_.substr(0, end + event_end.size()));
    buffer_.erase(0, end + event_end.size());
    end = buffer_.find(event_end);
  }
  if (!value(chunk).end_) {
    return forward;
  }
  if (!finish_seen_) {
    return resume({error_code::upstream_failed, "engine response ended before its final event",
                   ran_state::outcome_unknown});
  }
  auto last = finish();
  return ok(last) ? result<std::string>{forward + value(last)} : last;
}

auto chat_answer::next() -> std::optional<std::string> {
  while (stage_ == stage::streaming) {
    auto bytes = advance();
    if (!ok(bytes)) {
      stage_ = stage::ended;
      return std::string{data_prefix} + to_json_text(failure(bytes)) + std::string{event_end};
    }
    if (!value(bytes).empty()) {
      return value(bytes);
    }
  }
  return std::nullopt;
}

auto chat_answer::complete_response() -> result<std::string> {
  while (stage_ == stage::streaming) {
    auto bytes = advance();
    if (!ok(bytes)) {
      stage_ = stage::ended;
      auto superseded = failure(bytes).code_ == error_code::call_mismatch && !answer_.empty();
      return superseded ? result<std::string>{answer_} : result<std::string>{failure(bytes)};
    }
  }
  return answer_;
}

auto chat_answer::replay_as_events(const std::string& answer) -> std::string {
  auto body = json::parse(answer, nullptr, false);
  if (!body.is_object() || !body.contains("choices")) {
    return std::string{data_prefix} + answer + std::string{event_end} + done_event();
  }
  auto text =
      json{{"id", body.at("id")},
           {"object", "chat.completion.chunk"},
           {"model", body.at("model")},
           {"choices",
            {{{"index", 0},
              {"delta", {{"role", "assistant"}, {"content", body["choices"][0]["message"]["content"]}}},
              {"finish_reason", nullptr}}}}};
  return event_of(text) + final_events(body);
}

}  // namespace birchlever

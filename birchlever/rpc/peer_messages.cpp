#include "birchlever/rpc/peer_messages.h"

namespace birchlever {
namespace {

auto to_signed(const std::vector<std::uint64_t>& hashes) -> std::vector<std::int64_t> {
  return {hashes.begin(), hashes.end()};
}

auto to_unsigned(const std::vector<std::int64_t>& hashes) -> std::vector<std::uint64_t> {
  return {hashes.begin(), hashes.end()};
}

/// Codes of a newer daemon that this one does not know become `internal`.
auto known_code(std::int32_t code) -> error_code {
  auto known = code >= 0 && code <= static_cast<std::int32_t>(error_code::internal);
  return known ? static_cast<error_code>(code) : error_code::internal;
}

auto known_state(std::int32_t state) -> ran_state {
  auto known = state >= 0 && state <= static_cast<std::int32_t>(ran_state::outcome_unknown);
  return known ? static_cast<ran_state>(state) : ran_state::outcome_unknown;
}

auto known_outcome(std::int32_t outcome) -> call_outcome {
  auto known = outcome >= 0 && outcome <= static_cast<std::int32_t>(call_outcome::failed);
  return known ? static_cast<call_outcome>(outcome) : call_outcome::failed;
}

}  // namespace

auto to_message(const error& failure) -> rpc::failure_message {
  auto message = rpc::failure_message{};
  message.code = static_cast<std::int32_t>(failure.code_);
  message.detail = failure.detail_;
  message.retry_after_ms = failure.retry_after_ms_;
  message.ran = static_cast<std::int32_t>(failure.ran_);
  return message;
}

auto from_message(const rpc::failure_message& message) -> error {
  return {known_code(message.code), message.detail, known_state(message.ran), message.retry_after_ms};
}

auto to_message(const open_request& request) -> rpc::open_message {
  auto message = rpc::open_message{};
  const auto& order = request.order_;
  message.account = order.account_;
  message.program = order.program_;
  message.number = order.number_;
  message.parent = order.parent_;
  message.budget = order.budget_;
  message.repeatable = order.repeatable_;
  message.generates = order.generates_;
  message.ephemeral = order.ephemeral_;
  message.max_tokens = order.max_tokens_;
  message.prompt_tokens = order.prompt_tokens_;
  message.deadline_ms = order.deadline_;
  message.digest = static_cast<std::int64_t>(order.digest_);
  message.model = request.model_;
  message.service_name = request.service_;
  message.data_hall = request.data_hall_;
  message.prefix_hashes = to_signed(request.prefix_hashes_);
  message.avoid = request.avoid_;
  message.request_id = request.request_id_;
  message.account_share = request.account_share_;
  message.traceparent = request.traceparent_;
  return message;
}

auto from_message(const rpc::open_message& message) -> open_request {
  auto request = open_request{};
  auto& order = request.order_;
  order.account_ = message.account;
  order.program_ = message.program;
  order.number_ = message.number;
  order.parent_ = message.parent;
  order.budget_ = message.budget;
  order.repeatable_ = message.repeatable;
  order.generates_ = message.generates;
  order.ephemeral_ = message.ephemeral;
  order.max_tokens_ = message.max_tokens;
  order.prompt_tokens_ = message.prompt_tokens;
  order.deadline_ = message.deadline_ms;
  order.digest_ = static_cast<std::uint64_t>(message.digest);
  request.model_ = message.model;
  request.service_ = message.service_name;
  request.data_hall_ = message.data_hall;
  request.prefix_hashes_ = to_unsigned(message.prefix_hashes);
  request.avoid_ = message.avoid;
  request.request_id_ = message.request_id;
  order.request_id_ = message.request_id;
  request.account_share_ = message.account_share;
  request.traceparent_ = message.traceparent;
  return request;
}

auto to_message(const open_reply& reply) -> rpc::open_reply {
  auto message = rpc::open_reply{};
  if (!ok(reply)) {
    message.__set_failure(to_message(failure(reply)));
    return message;
  }
  if (const auto* replayed = std::get_if<replayed_answer>(&value(reply))) {
    message.__set_replay(replayed->answer_);
    return message;
  }
  const auto& given = std::get<dispatch_ticket>(value(reply));
  auto ticket = rpc::ticket_message{};
  ticket.upstream = given.upstream_;
  ticket.host = given.address_.host_;
  ticket.port = given.address_.port_;
  ticket.epoch = given.call_.epoch_;
  ticket.sequence = given.call_.sequence_;
  ticket.max_tokens = given.call_.max_tokens_;
  ticket.key = given.call_.key_;
  ticket.priority = given.priority_;
  ticket.send_within_ms = given.send_within_;
  ticket.waited_ms = given.waited_;
  ticket.policy = given.policy_;
  message.__set_ticket(ticket);
  return message;
}

auto from_message(const rpc::open_reply& message) -> open_reply {
  if (message.__isset.failure) {
    return from_message(message.failure);
  }
  if (message.__isset.replay) {
    return replayed_answer{message.replay};
  }
  if (!message.__isset.ticket) {
    return error{error_code::internal, "the owner's answer is empty", ran_state::not_run};
  }
  auto ticket = dispatch_ticket{};
  ticket.upstream_ = message.ticket.upstream;
  ticket.address_ = {message.ticket.host, message.ticket.port};
  ticket.call_ = {message.ticket.epoch, message.ticket.sequence, message.ticket.max_tokens,
                  message.ticket.key};
  ticket.priority_ = message.ticket.priority;
  ticket.send_within_ = message.ticket.send_within_ms;
  ticket.waited_ = message.ticket.waited_ms;
  ticket.policy_ = message.ticket.policy;
  return ticket;
}

auto to_message(const settle_request& request) -> rpc::settle_message {
  auto message = rpc::settle_message{};
  const auto& report = request.report_;
  message.account = report.account_;
  message.program = report.program_;
  message.number = report.number_;
  message.epoch = report.epoch_;
  message.sequence = report.sequence_;
  message.outcome = static_cast<std::int32_t>(report.outcome_);
  message.tokens = report.tokens_;
  message.max_tokens = report.max_tokens_;
  message.digest = static_cast<std::int64_t>(report.digest_);
  message.repeatable = report.repeatable_;
  message.answer = report.answer_;
  message.upstream = report.upstream_;
  message.request_id = report.request_id_;
  message.ephemeral = report.ephemeral_;
  message.prompt_tokens = request.prompt_tokens_;
  message.cached_tokens = request.cached_tokens_;
  message.prefix_hashes = to_signed(request.prefix_hashes_);
  message.last = request.last_;
  return message;
}

auto from_message(const rpc::settle_message& message) -> settle_request {
  auto request = settle_request{};
  auto& report = request.report_;
  report.account_ = message.account;
  report.program_ = message.program;
  report.number_ = message.number;
  report.epoch_ = message.epoch;
  report.sequence_ = message.sequence;
  report.outcome_ = known_outcome(message.outcome);
  report.tokens_ = message.tokens;
  report.max_tokens_ = message.max_tokens;
  report.digest_ = static_cast<std::uint64_t>(message.digest);
  report.repeatable_ = message.repeatable;
  report.answer_ = message.answer;
  report.upstream_ = message.upstream;
  report.request_id_ = message.request_id;
  report.ephemeral_ = message.ephemeral;
  request.prompt_tokens_ = message.prompt_tokens;
  request.cached_tokens_ = message.cached_tokens;
  request.prefix_hashes_ = to_unsigned(message.prefix_hashes);
  request.last_ = message.last;
  return request;
}

auto to_message(const settle_reply& reply) -> rpc::settle_reply {
  auto message = rpc::settle_reply{};
  if (!ok(reply)) {
    message.__set_failure(to_message(failure(reply)));
  } else {
    message.__set_replay(value(reply).answer_);
  }
  return message;
}

auto from_message(const rpc::settle_reply& message) -> settle_reply {
  if (message.__isset.failure) {
    return from_message(message.failure);
  }
  return replayed_answer{message.replay};
}

auto to_message(const accepted_report& report) -> rpc::accepted_message {
  auto message = rpc::accepted_message{};
  message.account = report.account_;
  message.program = report.program_;
  message.number = report.number_;
  message.sequence = report.sequence_;
  message.epoch = report.epoch_;
  message.digest = static_cast<std::int64_t>(report.digest_);
  message.max_tokens = report.max_tokens_;
  message.repeatable = report.repeatable_;
  message.upstream = report.upstream_;
  return message;
}

auto from_message(const rpc::accepted_message& message) -> accepted_report {
  auto report = accepted_report{};
  report.account_ = message.account;
  report.program_ = message.program;
  report.number_ = message.number;
  report.sequence_ = message.sequence;
  report.epoch_ = message.epoch;
  report.digest_ = static_cast<std::uint64_t>(message.digest);
  report.max_tokens_ = message.max_tokens;
  report.repeatable_ = message.repeatable;
  report.upstream_ = message.upstream;
  return report;
}

}  // namespace birchlever

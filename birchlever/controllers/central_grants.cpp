#include "birchlever/controllers/central_grants.h"

#include <random>

#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto most_datagram = std::size_t{512};

auto ask_of(const allotment_claim& wanted, std::uint64_t number) -> allotment_ask {
  return {number, wanted.account_, wanted.begins_program_, wanted.program_requests_, wanted.program_ms_};
}

auto claim_of(const allotment_ask& ask, const account_allotment& limit) -> allotment_claim {
  return {ask.account_, limit, ask.begins_program_, ask.program_requests_, ask.program_ms_};
}

auto name_of(const asio::ip::udp::endpoint& sender, std::uint64_t number) -> std::string {
  return sender.address().to_string() + ":" + std::to_string(sender.port()) + "/" + std::to_string(number);
}

}  // namespace

/// An ask that waits for its answer.
struct central_grants::pending_ask {
  explicit pending_ask(event_loop& loop) : answered_{loop} {}

  std::optional<allotment_answer> answer_;
  loop_signal answered_;
};

central_grants::central_grants(event_loop& loop, central_grants_settings settings, limit_function limit_of,
                               share_function share)
    : loop_{&loop},
      settings_{std::move(settings)},
      limit_of_{std::move(limit_of)},
      share_{std::move(share)},
      socket_{loop},
      clock_{std::make_shared<steady_clock>()},
      order_{grantor_order_settings{settings_.vm_}},
      grantor_{settings_.grantor_},
      fallback_{settings_.fallback_,
                [this] {
                  return members_known_ ? static_cast<std::int64_t>(order_.size()) : settings_.unknown_fleet_;
                },
                clock_},
      asks_{std::random_device{}()} {}

auto central_grants::create(event_loop& loop, const central_grants_settings& settings,
                            limit_function limit_of, share_function share)
    -> result<std::shared_ptr<central_grants>> {
  auto parsed = parse_address(settings.address_);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  auto made = std::shared_ptr<central_grants>{
      new central_grants{loop, settings, std::move(limit_of), std::move(share)}};
  auto code = boost::system::error_code{};
  made->socket_.open(asio::ip::udp::v4(), code);
  if (!code) {
    made->socket_.bind({value(parsed).address(), value(parsed).port()}, code);
  }
  if (!code) {
    made->socket_.non_blocking(true, code);
  }
  if (code) {
    return error{error_code::invalid_setting, "can't bind " + settings.address_ + ": " + code.message()};
  }
  start(loop, "receive_allotments", made->receive_all());
  start(loop, "send_debits", made->send_debits());
  return made;
}

auto central_grants::set_members(member_map members) -> void {
  auto vms = std::vector<std::string>{};
  for (const auto& [vm, address] : members) {
    vms.push_back(vm);
  }
  members_ = std::move(members);
  members_known_ = true;
  order_.set_members(std::move(vms));
}

auto central_grants::send(const allotment_message& message, const asio::ip::udp::endpoint& receiver) -> void {
  auto bytes = encode(message);
  auto ignored = boost::system::error_code{};  // Like a datagram that was lost: the asker tries again.
  socket_.send_to(asio::buffer(bytes), receiver, 0, ignored);
}

auto central_grants::receive_all() -> task<> {
  auto self = shared_from_this();
  auto buffer = std::vector<char>(most_datagram);
  while (true) {
    auto code = boost::system::error_code{};
    auto sender = asio::ip::udp::endpoint{};
    auto read = co_await socket_.async_receive_from(asio::buffer(buffer), sender, resume_with(code));
    if (code == asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // A port that was closed answers so.
    }
    auto decoded = decode_allotment_message({buffer.data(), read});
    if (!ok(decoded)) {
      log_failure(log_level::warning, "allotment_message_unreadable", failure(decoded));
      continue;
    }
    take(value(decoded), sender);
  }
}

auto central_grants::take(const allotment_message& message, const asio::ip::udp::endpoint& sender) -> void {
  if (const auto* ask = std::get_if<allotment_ask>(&message)) {
    answer(*ask, sender);
  } else if (const auto* got = std::get_if<allotment_answer>(&message)) {
    auto waiting = pending_.find(got->number_);
    if (waiting != pending_.end()) {
      waiting->second->answer_ = *got;
      waiting->second->answered_.notify();
    }
  } else if (const auto* debit = std::get_if<allotment_debit>(&message)) {
    grantor_.debit(debit->account_, debit->tokens_);
  }
}

auto central_grants::answer(const allotment_ask& ask, const asio::ip::udp::endpoint& sender) -> void {
  auto now = clock_->now();
  auto name = name_of(sender, ask.number_);
  auto before = given_.find(name);
  if (before == given_.end()) {
    before = given_.emplace(std::move(name), given_answer{decide(ask), now}).first;
  }
  send(before->second.answer_, sender);
}

auto central_grants::forget_answers() -> void {
  auto oldest = clock_->now() - settings_.remembered_;
  for (auto next = given_.begin(); next != given_.end();) {
    next = next->second.at_ < oldest ? given_.erase(next) : std::next(next);
  }
}

auto central_grants::decide(const allotment_ask& ask) -> allotment_answer {
  auto limit = limit_of_(ask.account_);
  if (!limit || !limit->limited()) {
    return {ask.number_, false, {}};
  }
  auto first = order_.first(ask.account_) == settings_.vm_;
  auto verdict = grantor_.claim(claim_of(ask, *limit), share_(), first, ask.granted_alone_, clock_->now());
  if (verdict.granted_ && !first) {
    debits_[ask.account_] += 1;
  }
  return {ask.number_, true, verdict};
}

auto central_grants::send_debits() -> task<> {
  auto self = shared_from_this();
  while (true) {
    co_await pause_for(*loop_, settings_.debit_interval_);
    forget_answers();
    for (const auto& [account, tokens] : std::exchange(debits_, {})) {
      auto first = members_.find(order_.first(account));
      if (first != members_.end()) {
        send(allotment_debit{account, tokens}, first->second);
      }
    }
  }
}

auto central_grants::ask_peer(std::string vm, const allotment_ask& ask)
    -> task<std::optional<allotment_answer>> {
  auto address = members_.at(vm);
  auto waiting = std::make_shared<pending_ask>(*loop_);
  pending_[ask.number_] = waiting;
  for (auto tries = 0; tries < settings_.tries_ && !waiting->answer_; ++tries) {
    send(ask, address);
    co_await waiting->answered_.wait_for(settings_.reply_timeout_);
  }
  pending_.erase(ask.number_);
  if (waiting->answer_) {
    order_.note_heard(vm);
  } else {
    order_.note_silent(vm, clock_->now());
  }
  co_return waiting->answer_;
}

auto central_grants::claim(allotment_claim wanted) -> task<allotment_verdict> {
  auto self = shared_from_this();
  auto ask = ask_of(wanted, ++asks_);
  ask.granted_alone_ = granted_alone_[wanted.account_];
  auto asked =
      members_known_ ? order_.candidates(wanted.account_, clock_->now()) : std::vector<std::string>{};
  for (auto& vm : asked) {
    auto got = std::optional<allotment_answer>{};
    if (vm == settings_.vm_) {
      got = decide(ask);
    } else if (members_.count(vm) != 0) {
      got = co_await ask_peer(std::move(vm), ask);
    }
    if (!got || !got->known_) {
      continue;
    }
    auto& untold = granted_alone_[wanted.account_];
    untold = std::max(untold - ask.granted_alone_, 0.0);
    if (got->verdict_.granted_) {
      fallback_.note_granted(wanted.account_);
    }
    co_return got->verdict_;
  }
  ++unanswered_;
  auto verdict = fallback_.decide(wanted);
  granted_alone_[wanted.account_] += verdict.granted_ ? 1 : 0;
  co_return verdict;
}

}  // namespace birchlever

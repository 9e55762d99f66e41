#include "birchlever/controllers/central_grants.h"

#include <random>

#include "birchlever/http/bind_failure.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_datagram_bytes = std::size_t{512};

auto to_request(const allotment_claim& requested, std::uint64_t number) -> allotment_request {
  return {number, requested.account_, requested.starts_program_, requested.expected_requests_,
          requested.expected_duration_};
}

auto to_claim(const allotment_request& request, const account_allotment& limit) -> allotment_claim {
  return {request.account_, limit, request.starts_program_, request.program_requests_, request.program_ms_};
}

auto request_key(const asio::ip::udp::endpoint& sender, std::uint64_t number) -> std::string {
  return sender.address().to_string() + ":" + std::to_string(sender.port()) + "/" + std::to_string(number);
}

}  // namespace

/// A request that waits for its reply.
struct central_grants::pending_request {
  explicit pending_request(event_loop& loop) : reply_received_{loop} {}

  std::optional<allotment_reply> reply_;
  loop_signal reply_received_;
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
                  return members_known_ ? static_cast<std::int64_t>(order_.size())
                                        : settings_.assumed_fleet_size_;
                },
                clock_},
      last_request_number_{std::random_device{}()} {}

auto central_grants::create(event_loop& loop, const central_grants_settings& settings,
                            limit_function limit_of, share_function share)
    -> result<std::shared_ptr<central_grants>> {
  auto parsed = parse_address(settings.address_);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  auto grants = std::shared_ptr<central_grants>{
      new central_grants{loop, settings, std::move(limit_of), std::move(share)}};
  auto code = boost::system::error_code{};
  grants->socket_.open(asio::ip::udp::v4(), code);
  if (!code) {
    grants->socket_.bind({value(parsed).address(), value(parsed).port()}, code);
  }
  if (!code) {
    grants->socket_.non_blocking(true, code);
  }
  if (code) {
    return bind_failure(settings.address_, code);
  }
  start(loop, "receive_allotments", grants->receive_all());
  start(loop, "send_debits", grants->send_debits());
  return grants;
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
  auto ignored = boost::system::error_code{};  // The requester retries, as after a lost datagram.
  socket_.send_to(asio::buffer(bytes), receiver, 0, ignored);
}

auto central_grants::receive_all() -> task<> {
  auto self = shared_from_this();
  auto buffer = std::vector<char>(max_datagram_bytes);
  while (true) {
    auto code = boost::system::error_code{};
    auto sender = asio::ip::udp::endpoint{};
    auto read = co_await socket_.async_receive_from(asio::buffer(buffer), sender, resume_with(code));
    if (code == asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // ICMP port unreachable from an earlier datagram.
    }
    auto decoded = decode_allotment_message({buffer.data(), read});
    if (!ok(decoded)) {
      log_failure(log_level::warning, "allotment_message_unreadable", failure(decoded));
      continue;
    }
    handle_message(value(decoded), sender);
  }
}

auto central_grants::handle_message(const allotment_message& message, const asio::ip::udp::endpoint& sender)
    -> void {
  if (const auto* request = std::get_if<allotment_request>(&message)) {
    handle_request(*request, sender);
  } else if (const auto* reply = std::get_if<allotment_reply>(&message)) {
    auto pending = pending_.find(reply->number_);
    if (pending != pending_.end()) {
      pending->second->reply_ = *reply;
      pending->second->reply_received_.notify();
    }
  } else if (const auto* debit = std::get_if<allotment_debit>(&message)) {
    grantor_.debit(debit->account_, debit->tokens_);
  }
}

auto central_grants::handle_request(const allotment_request& request, const asio::ip::udp::endpoint& sender)
    -> void {
  auto now = clock_->now();
  auto name = request_key(sender, request.number_);
  auto known = sent_replies_.find(name);
  if (known == sent_replies_.end()) {
    known = sent_replies_.emplace(std::move(name), sent_reply{decide(request), now}).first;
  }
  send(known->second.reply_, sender);
}

auto central_grants::expire_replies() -> void {
  auto oldest = clock_->now() - settings_.reply_retention_;
  for (auto next = sent_replies_.begin(); next != sent_replies_.end();) {
    next = next->second.sent_at_ < oldest ? sent_replies_.erase(next) : std::next(next);
  }
}

auto central_grants::decide(const allotment_request& request) -> allotment_reply {
  auto limit = limit_of_(request.account_);
  if (!limit || !limit->limited()) {
    return {request.number_, false, {}};
  }
  auto primary = order_.primary(request.account_) == settings_.vm_;
  auto decision = grantor_.claim(to_claim(request, *limit), share_(), primary,
                                 request.granted_without_grantor_, clock_->now());
  if (decision.granted_ && !primary) {
    debits_[request.account_] += 1;
  }
  return {request.number_, true, decision};
}

auto central_grants::send_debits() -> task<> {
  auto self = shared_from_this();
  while (true) {
    co_await pause_for(*loop_, settings_.debit_interval_);
    expire_replies();
    for (const auto& [account, tokens] : std::exchange(debits_, {})) {
      auto primary = members_.find(order_.primary(account));
      if (primary != members_.end()) {
        send(allotment_debit{account, tokens}, primary->second);
      }
    }
  }
}

auto central_grants::request_grant(std::string vm, const allotment_request& request)
    -> task<std::optional<allotment_reply>> {
  auto address = members_.at(vm);
  auto pending = std::make_shared<pending_request>(*loop_);
  pending_[request.number_] = pending;
  for (auto attempt = 0; attempt < settings_.max_attempts_ && !pending->reply_; ++attempt) {
    send(request, address);
    co_await pending->reply_received_.wait_for(settings_.reply_timeout_);
  }
  pending_.erase(request.number_);
  if (pending->reply_) {
    order_.record_seen(vm);
  } else {
    order_.record_unresponsive(vm, clock_->now());
  }
  co_return pending->reply_;
}

auto central_grants::claim(allotment_claim requested) -> task<allotment_decision> {
  auto self = shared_from_this();
  auto request = to_request(requested, ++last_request_number_);
  request.granted_without_grantor_ = granted_without_grantor_[requested.account_];
  auto candidates =
      members_known_ ? order_.candidates(requested.account_, clock_->now()) : std::vector<std::string>{};
  for (auto& vm : candidates) {
    auto reply = std::optional<allotment_reply>{};
    if (vm == settings_.vm_) {
      reply = decide(request);
    } else if (members_.count(vm) != 0) {
      reply = co_await request_grant(std::move(vm), request);
    }
    if (!reply || !reply->has_limit_) {
      continue;
    }
    auto& unreported = granted_without_grantor_[requested.account_];
    unreported = std::max(unreported - request.granted_without_grantor_, 0.0);
    if (reply->decision_.granted_) {
      fallback_.record_granted(requested.account_);
    }
    co_return reply->decision_;
  }
  ++fallback_decisions_;
  auto decision = fallback_.decide(requested);
  granted_without_grantor_[requested.account_] += decision.granted_ ? 1 : 0;
  co_return decision;
}

}  // namespace birchlever

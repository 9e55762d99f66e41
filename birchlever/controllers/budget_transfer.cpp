#include "birchlever/controllers/budget_transfer.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "birchlever/coordination/allowance_ranges.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/http/http_call.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/http/loop_signal.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

// /budget/PROGRAM/TOKENS/REQUESTER/HOLDER; HOLDER may be empty. Response: a line with the tokens, then a line
// for each daemon that received tokens.
constexpr auto path = std::string_view{"/budget/"};
constexpr auto incarnation_separator = '@';
// /allowance/PROGRAM/TOKENS. Same response format.
constexpr auto allowance_path = std::string_view{"/allowance/"};
// /lease/PROGRAM/RESERVATION/HOLDER/REQUESTER. Response: 200 if the reservation was transferred, else 410.
// Earlier versions send no requester.
constexpr auto lease_path = std::string_view{"/lease/"};
// /lease_use/RESERVATION/KEEP_MS/WITNESS. Response: 200 if the use was recorded, 409 if the lease is revoked.
constexpr auto lease_use_path = std::string_view{"/lease_use/"};
// /lease_revocation/RESERVATION/KEEP_MS/WITNESS. Response: the state of the lease.
constexpr auto lease_revocation_path = std::string_view{"/lease_revocation/"};
// /lease_inquiry/RESERVATION/KEEP_MS/DAEMON/PROGRAM. Response: the state of the lease.
constexpr auto lease_inquiry_path = std::string_view{"/lease_inquiry/"};
constexpr auto max_response_bytes = std::size_t{8192};
constexpr auto max_keep = milliseconds{3'600'000};  // For which the use of a lease is remembered.

/// Returns the segments of a path after its prefix.
auto parts_of(std::string_view target, std::string_view prefix) -> std::vector<std::string> {
  auto parts = std::vector<std::string>{};
  auto text = std::istringstream{std::string{target.substr(prefix.size())} + "/"};
  for (auto part = std::string{}; std::getline(text, part, '/');) {
    parts.push_back(part);
  }
  return parts;
}

auto vm_of(const std::string& daemon) -> std::string {
  return daemon.substr(0, daemon.find(incarnation_separator));
}

auto read_lease_answer(const std::optional<whole_answer>& response) -> lease_answer {
  if (response && response->status_ == static_cast<unsigned>(http::status::gone)) {
    return {lease_state::lost, {}};
  }
  auto answered = response && response->status_ == static_cast<unsigned>(http::status::ok);
  return answered ? decode_lease_answer(response->body_) : lease_answer{};
}

auto format_response(const transferred_tokens& transferred) -> std::string {
  auto text = std::to_string(transferred.tokens_) + "\n";
  for (const auto& daemon : transferred.recipients_) {
    text += daemon + "\n";
  }
  return text;
}

auto parse_response(const std::string& body) -> std::optional<transferred_tokens> {
  auto text = std::istringstream{body};
  auto line = std::string{};
  std::getline(text, line);
  auto tokens = parse_count(line);
  if (!tokens) {
    return std::nullopt;
  }
  auto transferred = transferred_tokens{*tokens};
  while (std::getline(text, line)) {
    transferred.recipients_.push_back(line);
  }
  return transferred;
}

}  // namespace

/// A query sent to several peers.
struct budget_transfer::peer_query {
  explicit peer_query(event_loop& loop) : reply_received_{loop} {}

  int pending_ = 0;
  transferred_tokens received_;
  loop_signal reply_received_;
};

budget_transfer::budget_transfer(event_loop& loop, const budget_transfer_settings& settings,
                                 addresses_function addresses)
    : loop_{&loop},
      settings_{settings},
      addresses_{std::move(addresses)},
      connections_{connection_pool::create(loop, {})} {}

auto budget_transfer::create(event_loop& loop, const budget_transfer_settings& settings,
                             addresses_function addresses) -> std::shared_ptr<budget_transfer> {
  return std::shared_ptr<budget_transfer>{new budget_transfer{loop, settings, std::move(addresses)}};
}

auto budget_transfer::request_tokens(std::string program_key, std::vector<std::string> holders,
                                     std::int64_t tokens) -> task<transferred_tokens> {
  auto self = shared_from_this();
  auto query = std::make_shared<peer_query>(*loop_);
  auto addresses = addresses_();
  auto prefix =
      std::string{path} + program_key + "/" + std::to_string(tokens) + "/" + settings_.daemon_ + "/";
  auto calls = std::vector<std::pair<std::string, std::string>>{};  // Address and target.
  for (const auto& holder : holders) {
    auto found = addresses.find(vm_of(holder));
    if (found == addresses.end()) {
      query->received_.unaccounted_ = true;
    } else {
      calls.emplace_back(found->second, prefix + holder);
    }
  }
  if (holders.empty()) {
    for (const auto& [vm, address] : addresses) {
      calls.emplace_back(address, prefix);
    }
    calls.resize(std::min(calls.size(), settings_.max_peers_));
  }
  query->pending_ = static_cast<int>(calls.size());
  for (const auto& [address, target] : calls) {
    start(*loop_, "ask_budget", ask_peer(address, target, query));
  }
  auto deadline = clock_.now() + settings_.request_timeout_;
  while (query->pending_ > 0 && query->received_.tokens_ < tokens && clock_.now() < deadline) {
    co_await query->reply_received_.wait_for(deadline - clock_.now());
  }
  if (query->pending_ > 0) {
    query->received_.unaccounted_ = true;
  }
  log_event(log_level::info, "budget_requested_from_peers",
            {{"program", program_key},
             {"peers", static_cast<std::int64_t>(calls.size())},
             {"wanted", tokens},
             {"got", query->received_.tokens_},
             {"unaccounted", query->received_.unaccounted_}});
  co_return std::exchange(query->received_, {});
}

auto budget_transfer::set_allowances(std::shared_ptr<allowance_ranges> ranges,
                                     range_holder_function holder_of) -> void {
  allowances_ = std::move(ranges);
  holder_of_ = std::move(holder_of);
}

auto budget_transfer::ask_about_lease(std::string daemon, std::string target)
    -> task<std::optional<whole_answer>> {
  auto self = shared_from_this();
  auto vm = vm_of(daemon);
  if (vm == vm_of(settings_.daemon_) && daemon != settings_.daemon_) {
    co_return whole_answer{static_cast<unsigned>(http::status::gone), {}};  // This daemon replaced it.
  }
  auto addresses = addresses_();
  auto found = addresses.find(vm);
  auto unresponsive = unresponsive_until_.find(vm);
  if (found == addresses.end() ||
      (unresponsive != unresponsive_until_.end() && unresponsive->second > clock_.now())) {
    co_return std::nullopt;
  }
  auto response = co_await exchange(found->second, std::move(target), settings_.lease_timeout_);
  if (!response) {
    unresponsive_until_[vm] = clock_.now() + settings_.unresponsive_backoff_;
  }
  co_return response;
}

auto budget_transfer::request_lease(std::string program_key, std::string reservation, std::string holder)
    -> task<bool> {
  auto target =
      std::string{lease_path} + program_key + "/" + reservation + "/" + holder + "/" + settings_.daemon_;
  auto response = co_await ask_about_lease(holder, std::move(target));
  auto granted = response && response->status_ == static_cast<unsigned>(http::status::ok);
  log_event(log_level::info, "reservation_requested_from_peer",
            {{"program", program_key}, {"peer", holder}, {"reservation", reservation}, {"given", granted}});
  co_return granted;
}

auto budget_transfer::choose_witness() -> std::optional<std::string> {
  constexpr auto max_choices = 4;
  for (auto choices = 0; witnesses_ && choices < max_choices; ++choices) {
    auto chosen = witnesses_();
    if (!chosen) {
      return std::nullopt;
    }
    auto unresponsive = unresponsive_until_.find(vm_of(*chosen));
    if (unresponsive == unresponsive_until_.end() || unresponsive->second <= clock_.now()) {
      return chosen;
    }
  }
  return std::nullopt;
}

auto budget_transfer::record_lease_use(std::string lease, std::string witness, milliseconds keep_for)
    -> task<bool> {
  auto target = std::string{lease_use_path} + lease + "/" + std::to_string(keep_for) + "/" + witness;
  auto response = co_await ask_about_lease(std::move(witness), std::move(target));
  co_return response && response->status_ == static_cast<unsigned>(http::status::ok);
}

auto budget_transfer::inquire_lease(std::string program_key, std::string lease, std::string daemon,
                                    milliseconds keep_for) -> task<lease_answer> {
  auto target = std::string{lease_inquiry_path} + lease + "/" + std::to_string(keep_for) + "/" + daemon +
                "/" + program_key;
  auto response = co_await ask_about_lease(std::move(daemon), std::move(target));
  co_return read_lease_answer(response);
}

auto budget_transfer::revoke_lease(std::string lease, std::string witness, milliseconds keep_for)
    -> task<lease_answer> {
  auto target = std::string{lease_revocation_path} + lease + "/" + std::to_string(keep_for) + "/" + witness;
  auto response = co_await ask_about_lease(std::move(witness), std::move(target));
  co_return read_lease_answer(response);
}

auto budget_transfer::request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> {
  if (!allowances_) {
    co_return 0;
  }
  auto granted = allowances_->grant(program_key, tokens);
  auto holder = holder_of_(allowances_->range_of(program_key));
  if (granted > 0 || !holder) {
    co_return granted;
  }
  auto self = shared_from_this();
  auto target = std::string{allowance_path} + program_key + "/" + std::to_string(tokens);
  auto response = co_await call(*holder, std::move(target));
  co_return response ? response->tokens_ : 0;
}

auto budget_transfer::ask_peer(std::string address, std::string target, std::shared_ptr<peer_query> query)
    -> task<> {
  auto self = shared_from_this();
  auto received = co_await call(std::move(address), std::move(target));
  --query->pending_;
  if (received) {
    query->received_.tokens_ += received->tokens_;
    auto& moved = query->received_.recipients_;
    moved.insert(moved.end(), received->recipients_.begin(), received->recipients_.end());
  } else {
    query->received_.unaccounted_ = true;
  }
  query->reply_received_.notify();
}

auto budget_transfer::call(std::string address, std::string target)
    -> task<std::optional<transferred_tokens>> {
  auto response = co_await exchange(std::move(address), std::move(target), settings_.request_timeout_);
  auto known = response && response->status_ == static_cast<unsigned>(http::status::ok);
  co_return known ? parse_response(response->body_) : std::nullopt;
}

auto budget_transfer::exchange(std::string address, std::string target, milliseconds limit)
    -> task<std::optional<whole_answer>> {
  auto parsed = parse_address(address);
  if (!ok(parsed)) {
    co_return std::nullopt;
  }
  auto request = std::make_shared<http_request>(http::verb::post, target, 11);
  request->set(http::field::host, address);
  request->prepare_payload();
  auto response =
      co_await call_http(*connections_, value(parsed), std::move(request), limit, max_response_bytes);
  if (std::holds_alternative<exchange_fault>(response)) {
    co_return std::nullopt;
  }
  co_return std::move(std::get<whole_answer>(response));
}

auto budget_transfer::is_request(const http_request& request) -> bool {
  constexpr auto prefixes =
      std::array{path, lease_path, allowance_path, lease_use_path, lease_revocation_path, lease_inquiry_path};
  return std::any_of(prefixes.begin(), prefixes.end(),
                     [&](std::string_view prefix) { return request.target().starts_with(to_beast(prefix)); });
}

auto budget_transfer::answer_lease(program_store& programs, const std::vector<std::string>& parts) const
    -> http_response {
  constexpr auto without_requester = std::size_t{3};
  if (parts.size() != without_requester && parts.size() != without_requester + 1) {
    return http_response{http::status::bad_request, 11};
  }
  auto requester = parts.size() > without_requester ? parts.back() : std::string{};
  auto granted = parts[2] == settings_.daemon_ && programs.transfer_lease(parts[0], parts[1], requester);
  if (granted) {
    log_event(log_level::info, "reservation_transferred",
              {{"program", parts[0]}, {"reservation", parts[1]}, {"to", requester}});
  }
  return http_response{granted ? http::status::ok : http::status::gone, 11};
}

auto budget_transfer::answer_lease_use(program_store& programs, std::string_view target) const
    -> http_response {
  constexpr auto expected = std::size_t{3};
  auto is_inquiry = target.starts_with(lease_inquiry_path);
  auto is_use = target.starts_with(lease_use_path);
  auto prefix = is_inquiry ? lease_inquiry_path : is_use ? lease_use_path : lease_revocation_path;
  auto parts = parts_of(target, prefix);
  auto keep_for = parts.size() == expected + (is_inquiry ? 1 : 0) ? parse_count(parts[1]) : std::nullopt;
  if (!keep_for || *keep_for > max_keep) {
    return http_response{http::status::bad_request, 11};
  }
  if (parts[2] != settings_.daemon_) {
    return http_response{http::status::gone, 11};
  }
  if (is_use) {
    auto recorded = programs.witness_use(parts[0], *keep_for);
    return http_response{recorded ? http::status::ok : http::status::conflict, 11};
  }
  auto answer = http_response{http::status::ok, 11};
  answer.body() = encode(is_inquiry ? programs.answer_inquiry(parts[3], parts[0], *keep_for)
                                    : programs.revoke(parts[0], *keep_for));
  return answer;
}

auto budget_transfer::answer(program_store& programs, const http_request& request) const -> http_response {
  auto target = std::string_view{request.target().data(), request.target().size()};
  if (target.starts_with(lease_path)) {
    return answer_lease(programs, parts_of(target, lease_path));
  }
  if (target.starts_with(lease_use_path) || target.starts_with(lease_revocation_path) ||
      target.starts_with(lease_inquiry_path)) {
    return answer_lease_use(programs, target);
  }
  auto is_allowance = request.target().starts_with(to_beast(allowance_path));
  auto parts = parts_of(target, is_allowance ? allowance_path : path);
  auto expected = is_allowance ? std::size_t{2} : std::size_t{4};
  auto tokens = parts.size() == expected ? parse_count(parts[1]) : std::nullopt;
  if (!tokens) {
    return http_response{http::status::bad_request, 11};
  }
  auto answer = http_response{http::status::ok, 11};
  if (is_allowance) {
    answer.body() = format_response({allowances_ ? allowances_->grant(parts[0], *tokens) : 0});
    return answer;
  }
  const auto& holder = parts[3];
  if (!holder.empty() && holder != settings_.daemon_) {
    return http_response{http::status::gone, 11};
  }
  auto transferred = programs.transfer_tokens(parts[0], parts[2], *tokens);
  if (transferred.tokens_ > 0) {
    log_event(
        log_level::info, "budget_transferred",
        {{"program", parts[0]}, {"to", parts[2]}, {"wanted", *tokens}, {"tokens", transferred.tokens_}});
  }
  answer.body() = format_response(transferred);
  return answer;
}

}  // namespace birchlever

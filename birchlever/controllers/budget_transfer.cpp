#include "birchlever/controllers/budget_transfer.h"

#include <algorithm>
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
// /lease/PROGRAM/RESERVATION/HOLDER. Response: 200 if the reservation was transferred, else 410.
constexpr auto lease_path = std::string_view{"/lease/"};
constexpr auto max_response_bytes = std::size_t{8192};

/// Returns the segments of a path after its prefix.
auto parts_of(std::string_view target, std::string_view prefix) -> std::vector<std::string> {
  auto parts = std::vector<std::string>{};
  auto text = std::istringstream{std::string{target.substr(prefix.size())} + "/"};
  for (auto part = std::string{}; std::getline(text, part, '/');) {
    parts.push_back(part);
  }
  return parts;
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
    auto found = addresses.find(holder.substr(0, holder.find(incarnation_separator)));
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

auto budget_transfer::request_lease(std::string program_key, std::string reservation, std::string holder)
    -> task<bool> {
  auto self = shared_from_this();
  auto vm = holder.substr(0, holder.find(incarnation_separator));
  auto addresses = addresses_();
  auto found = addresses.find(vm);
  auto unresponsive = unresponsive_until_.find(vm);
  if (found == addresses.end() ||
      (unresponsive != unresponsive_until_.end() && unresponsive->second > clock_.now())) {
    co_return false;
  }
  auto target = std::string{lease_path} + program_key + "/" + reservation + "/" + holder;
  auto response = co_await exchange(found->second, std::move(target), settings_.lease_timeout_);
  if (!response) {
    unresponsive_until_[vm] = clock_.now() + settings_.unresponsive_backoff_;
  }
  auto granted = response && response->status_ == static_cast<unsigned>(http::status::ok);
  log_event(log_level::info, "reservation_requested_from_peer",
            {{"program", program_key}, {"peer", vm}, {"reservation", reservation}, {"given", granted}});
  co_return granted;
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
  return request.target().starts_with(to_beast(path)) || request.target().starts_with(to_beast(lease_path)) ||
         request.target().starts_with(to_beast(allowance_path));
}

auto budget_transfer::answer_lease(program_store& programs, const std::vector<std::string>& parts) const
    -> http_response {
  constexpr auto expected = std::size_t{3};
  if (parts.size() != expected) {
    return http_response{http::status::bad_request, 11};
  }
  auto granted = parts[2] == settings_.daemon_ && programs.transfer_lease(parts[0], parts[1]);
  if (granted) {
    log_event(log_level::info, "reservation_transferred", {{"program", parts[0]}, {"reservation", parts[1]}});
  }
  return http_response{granted ? http::status::ok : http::status::gone, 11};
}

auto budget_transfer::answer(program_store& programs, const http_request& request) const -> http_response {
  auto target = std::string_view{request.target().data(), request.target().size()};
  if (target.starts_with(lease_path)) {
    return answer_lease(programs, parts_of(target, lease_path));
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

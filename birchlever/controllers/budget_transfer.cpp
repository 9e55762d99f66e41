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

// /budget/PROGRAM/TOKENS/ASKER/HOLDER, the last may be empty. Answered with lines: the tokens, then daemons.
constexpr auto path = std::string_view{"/budget/"};
constexpr auto incarnation_sign = '@';
// /allowance/PROGRAM/TOKENS. Answered likewise.
constexpr auto allowance_path = std::string_view{"/allowance/"};
// /lease/PROGRAM/RESERVATION/HOLDER. Answered with 200 when it was given away, else 410.
constexpr auto lease_path = std::string_view{"/lease/"};
constexpr auto most_answer = std::size_t{8192};  // A number and some daemons.

/// The parts of a path behind its prefix.
auto parts_of(std::string_view target, std::string_view prefix) -> std::vector<std::string> {
  auto parts = std::vector<std::string>{};
  auto text = std::istringstream{std::string{target.substr(prefix.size())} + "/"};
  for (auto part = std::string{}; std::getline(text, part, '/');) {
    parts.push_back(part);
  }
  return parts;
}

auto answer_text(const transferred_tokens& handed) -> std::string {
  auto text = std::to_string(handed.tokens_) + "\n";
  for (const auto& daemon : handed.recipients_) {
    text += daemon + "\n";
  }
  return text;
}

auto read_answer(const std::string& body) -> std::optional<transferred_tokens> {
  auto text = std::istringstream{body};
  auto line = std::string{};
  std::getline(text, line);
  auto tokens = parse_count(line);
  if (!tokens) {
    return std::nullopt;
  }
  auto handed = transferred_tokens{*tokens};
  while (std::getline(text, line)) {
    handed.recipients_.push_back(line);
  }
  return handed;
}

}  // namespace

/// One question to several peers.
struct budget_transfer::round {
  explicit round(event_loop& loop) : answered_{loop} {}

  int open_ = 0;
  transferred_tokens handed_;
  loop_signal answered_;
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
  auto asked = std::make_shared<round>(*loop_);
  auto addresses = addresses_();
  auto prefix =
      std::string{path} + program_key + "/" + std::to_string(tokens) + "/" + settings_.daemon_ + "/";
  auto calls = std::vector<std::pair<std::string, std::string>>{};  // Address and target.
  for (const auto& holder : holders) {
    auto found = addresses.find(holder.substr(0, holder.find(incarnation_sign)));
    if (found == addresses.end()) {
      asked->handed_.unaccounted_ = true;
    } else {
      calls.emplace_back(found->second, prefix + holder);
    }
  }
  if (holders.empty()) {
    for (const auto& [vm, address] : addresses) {
      calls.emplace_back(address, prefix);
    }
    calls.resize(std::min(calls.size(), settings_.most_asked_));
  }
  asked->open_ = static_cast<int>(calls.size());
  for (const auto& [address, target] : calls) {
    start(*loop_, "ask_budget", ask_one(address, target, asked));
  }
  auto due = clock_.now() + settings_.limit_;
  while (asked->open_ > 0 && asked->handed_.tokens_ < tokens && clock_.now() < due) {
    co_await asked->answered_.wait_for(due - clock_.now());
  }
  if (asked->open_ > 0) {
    asked->handed_.unaccounted_ = true;
  }
  log_event(log_level::info, "budget_asked_of_peers",
            {{"program", program_key},
             {"peers", static_cast<std::int64_t>(calls.size())},
             {"wanted", tokens},
             {"got", asked->handed_.tokens_},
             {"unaccounted", asked->handed_.unaccounted_}});
  co_return std::exchange(asked->handed_, {});
}

auto budget_transfer::set_allowances(std::shared_ptr<allowance_ranges> ranges,
                                     range_holder_function holder_of) -> void {
  allowances_ = std::move(ranges);
  holder_of_ = std::move(holder_of);
}

auto budget_transfer::request_lease(std::string program_key, std::string reservation, std::string holder)
    -> task<bool> {
  auto self = shared_from_this();
  auto vm = holder.substr(0, holder.find(incarnation_sign));
  auto addresses = addresses_();
  auto found = addresses.find(vm);
  auto silent = silent_until_.find(vm);
  if (found == addresses.end() || (silent != silent_until_.end() && silent->second > clock_.now())) {
    co_return false;
  }
  auto target = std::string{lease_path} + program_key + "/" + reservation + "/" + holder;
  auto answered = co_await exchange(found->second, std::move(target), settings_.lease_limit_);
  if (!answered) {
    silent_until_[vm] = clock_.now() + settings_.silent_;
  }
  auto given = answered && answered->status_ == static_cast<unsigned>(http::status::ok);
  log_event(log_level::info, "reservation_asked_of_peer",
            {{"program", program_key}, {"peer", vm}, {"reservation", reservation}, {"given", given}});
  co_return given;
}

auto budget_transfer::request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> {
  if (!allowances_) {
    co_return 0;
  }
  auto given = allowances_->grant(program_key, tokens);
  auto holder = holder_of_(allowances_->range_of(program_key));
  if (given > 0 || !holder) {
    co_return given;
  }
  auto self = shared_from_this();
  auto target = std::string{allowance_path} + program_key + "/" + std::to_string(tokens);
  auto answered = co_await call(*holder, std::move(target));
  co_return answered ? answered->tokens_ : 0;
}

auto budget_transfer::ask_one(std::string address, std::string target, std::shared_ptr<round> asked)
    -> task<> {
  auto self = shared_from_this();
  auto got = co_await call(std::move(address), std::move(target));
  --asked->open_;
  if (got) {
    asked->handed_.tokens_ += got->tokens_;
    auto& moved = asked->handed_.recipients_;
    moved.insert(moved.end(), got->recipients_.begin(), got->recipients_.end());
  } else {
    asked->handed_.unaccounted_ = true;
  }
  asked->answered_.notify();
}

auto budget_transfer::call(std::string address, std::string target)
    -> task<std::optional<transferred_tokens>> {
  auto answered = co_await exchange(std::move(address), std::move(target), settings_.limit_);
  auto known = answered && answered->status_ == static_cast<unsigned>(http::status::ok);
  co_return known ? read_answer(answered->body_) : std::nullopt;
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
  auto answered = co_await call_http(*connections_, value(parsed), std::move(request), limit, most_answer);
  if (std::holds_alternative<exchange_fault>(answered)) {
    co_return std::nullopt;
  }
  co_return std::move(std::get<whole_answer>(answered));
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
  auto given = parts[2] == settings_.daemon_ && programs.transfer_lease(parts[0], parts[1]);
  if (given) {
    log_event(log_level::info, "reservation_handed_over", {{"program", parts[0]}, {"reservation", parts[1]}});
  }
  return http_response{given ? http::status::ok : http::status::gone, 11};
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
    answer.body() = answer_text({allowances_ ? allowances_->grant(parts[0], *tokens) : 0});
    return answer;
  }
  const auto& holder = parts[3];
  if (!holder.empty() && holder != settings_.daemon_) {
    return http_response{http::status::gone, 11};
  }
  auto handed = programs.transfer_tokens(parts[0], parts[2], *tokens);
  if (handed.tokens_ > 0) {
    log_event(log_level::info, "budget_handed_over",
              {{"program", parts[0]}, {"to", parts[2]}, {"wanted", *tokens}, {"tokens", handed.tokens_}});
  }
  answer.body() = answer_text(handed);
  return answer;
}

}  // namespace birchlever

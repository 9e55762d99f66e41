#include "soak/harmful_programs.h"

#include <array>

#include "birchlever/http/outgoing_connection.h"
#include "platform/names.h"
#include "soak/soak_accounts.h"

namespace birchlever::soak {
namespace {

namespace names = platform::names;

constexpr auto sends = 12;  // Twice the client attempts of a program's turn.
constexpr auto longest_start_gap_ms = 400;
constexpr auto time_limit_ms = milliseconds{3000};
constexpr auto most_body = std::size_t{1U << 16U};

}  // namespace

harmful_programs::harmful_programs(event_loop& loop, const soak_settings& settings, soak_fleet& fleet,
                                   soak_ledger& ledger)
    : loop_{&loop}, settings_{settings}, fleet_{&fleet}, ledger_{&ledger}, random_{settings.seed_ * 17 + 3} {}

auto harmful_programs::run() -> task<> {
  running_ = true;
  for (auto number = 0; !stopped_; ++number) {
    co_await repeat(number);
  }
  running_ = false;
}

auto harmful_programs::repeat(int number) -> task<> {
  constexpr auto paths = std::array<const char*, 3>{"/turn/x", "/safe/x", "/once/x"};
  const auto* path = paths.at(static_cast<std::size_t>(draw(2)));
  auto work = std::string{upstream_stand_in::harmful_text} + std::to_string(number);
  auto owner = settings_.accounts_ ? soak_accounts::of_caller(number) : sender{};
  for (auto attempt = 0; attempt < sends && !stopped_; ++attempt) {
    auto id = work + "-" + std::to_string(attempt);
    auto request = http_request{http::verb::post, path, 11};
    request.set(names::request_id, id);
    request.set(names::program, "program of " + work);
    request.set(names::session, "s");
    request.set(names::token_usage, "100,16");
    request.body() = work;
    if (!owner.key_.empty()) {
      request.set(names::account_key, owner.key_);
    }
    ledger_->sent(id, work, true, owner);  // It may reach two upstreams on the safe route.
    auto status = co_await send(std::move(request), fleet_->pick_gateway(random_()));
    auto at_once = status == 0 && draw(1) == 0;  // A client attempt that broke off is repeated at once.
    if (!at_once) {
      co_await pause_for(*loop_, draw(longest_start_gap_ms));
    }
  }
}

auto harmful_programs::send(http_request request, int gateway) -> task<int> {
  request.set(http::field::host, "soak.example");
  request.set(names::time_left, std::to_string(time_limit_ms));
  request.prepare_payload();
  auto parsed = parse_address(fleet_->caller_address(gateway));
  auto opened = co_await outgoing_connection::open(*loop_, value(parsed), time_limit_ms);
  auto* made = std::get_if<std::shared_ptr<outgoing_connection>>(&opened);
  if (made == nullptr) {
    co_return 0;
  }
  auto connection = *made;
  connection->send(std::make_shared<const http_request>(std::move(request)), time_limit_ms);
  auto head = co_await connection->read_head();
  auto status = 0;
  if (auto* answer = std::get_if<http_response>(&head)) {
    status = static_cast<int>(answer->result_int());
    auto rest = co_await connection->read_rest(most_body);
    status = std::holds_alternative<std::string>(rest) ? status : 0;
  }
  connection->abort();
  co_return status;
}

}  // namespace birchlever::soak

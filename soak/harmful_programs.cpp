#include "soak/harmful_programs.h"

#include <array>
#include <iostream>

#include "birchlever/http/outgoing_connection.h"
#include "platform/names.h"
#include "soak/soak_accounts.h"

namespace birchlever::soak {
namespace {

namespace names = platform::names;

constexpr auto sends = 12;            // Twice the client attempts of a program's turn.
constexpr auto lines_with_forms = 3;  // Harmful requests at once.
constexpr auto longest_start_gap_ms = 400;
constexpr auto time_limit_ms = milliseconds{3000};
constexpr auto most_body = std::size_t{1U << 16U};

}  // namespace

harmful_programs::harmful_programs(event_loop& loop, const soak_settings& settings, soak_fleet& fleet,
                                   soak_ledger& ledger)
    : loop_{&loop}, settings_{settings}, fleet_{&fleet}, ledger_{&ledger}, random_{settings.seed_ * 17 + 3} {}

auto harmful_programs::start_lines() -> void {
  auto lines = settings_.harmful_forms_ ? lines_with_forms : 1;
  for (auto line = 0; line < lines; ++line) {
    start(*loop_, "harmful_programs", run(line, lines));
  }
}

auto harmful_programs::run(int line, int lines) -> task<> {
  ++running_;
  for (auto number = line; !stopped_; number += lines) {
    auto work = draw_work(number);
    co_await repeat(std::move(work));
  }
  --running_;
}

auto harmful_programs::draw_work(int number) -> harmful_work {
  constexpr auto paths = std::array<const char*, 3>{"/turn/x", "/safe/x", "/once/x"};
  auto work = harmful_work{};
  work.path_ = paths.at(static_cast<std::size_t>(draw(2)));
  work.number_ = number;
  work.text_ = std::string{upstream_stand_in::harmful_text} + std::to_string(number);
  work.patience_ = time_limit_ms;
  if (settings_.harmful_forms_) {
    work.form_ = static_cast<harmful_form>(draw(harmful_forms - 1));
    auto turn = work.path_ == paths.front();
    // What ends long after its callers left, while its upstream serves others, is joined by its program only.
    auto joined_by_program = work.form_ == harmful_form::late;
    work.in_program_ = turn || joined_by_program || draw(2) > 0;
    work.same_program_ = joined_by_program || draw(2) > 0;
    work.patience_ = draw(1) == 0 ? time_limit_ms : milliseconds{200 + draw(500)};
    std::cout << work.text_ << ": form " << static_cast<int>(work.form_) << ", " << work.path_
              << (work.in_program_ ? "" : ", outside programs")
              << (work.same_program_ ? "" : ", each attempt from another program") << ", patience "
              << work.patience_ << " ms\n";
  }
  return work;
}

auto harmful_programs::make_request(const harmful_work& work, int attempt) const -> http_request {
  auto request = http_request{http::verb::post, work.path_, 11};
  auto sender = work.same_program_ ? work.text_ : work.text_ + " by " + std::to_string(attempt);
  request.set(names::request_id, work.text_ + "-" + std::to_string(attempt));
  if (work.in_program_) {
    request.set(names::program, "program of " + sender);
    request.set(names::session, "s of " + sender);
  }
  request.set(names::token_usage, "100,16");
  request.set(upstream_stand_in::form_header, std::to_string(static_cast<int>(work.form_)));
  request.body() = work.text_;
  return request;
}

auto harmful_programs::repeat(harmful_work work) -> task<> {
  auto owner = settings_.accounts_ ? soak_accounts::of_caller(work.number_) : sender{};
  for (auto attempt = 0; attempt < sends && !stopped_; ++attempt) {
    auto request = make_request(work, attempt);
    auto id = std::string{field_of(request, names::request_id)};
    if (!owner.key_.empty()) {
      request.set(names::account_key, owner.key_);
    }
    ledger_->sent(id, work.text_, true, owner);  // It may reach two upstreams on the safe route.
    auto gateway = fleet_->pick_gateway(random_());
    auto status = co_await send(std::move(request), gateway, work.patience_);
    auto at_once = status == 0 && draw(1) == 0;  // A client attempt that broke off is repeated at once.
    if (!at_once) {
      co_await pause_for(*loop_, draw(longest_start_gap_ms));
    }
  }
}

auto harmful_programs::send(http_request request, int gateway, milliseconds patience) -> task<int> {
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
  connection->send(std::make_shared<const http_request>(std::move(request)), patience);
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

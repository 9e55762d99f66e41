/// Continues programs with long histories through a gateway, and measures its memory.
#include <catch2/catch.hpp>
#include <functional>
#include <vector>

#include "birchlever/http/event_stream.h"
#include "birchlever/http/outgoing_connection.h"
#include "platform/names.h"
#include "soak/soak_fleet.h"
#include "soak/soak_ledger.h"
#include "unit_tests/daemon/gateway_process.h"

namespace birchlever::test {
namespace {

namespace names = platform::names;

constexpr auto bytes_per_mb = std::size_t{1U << 20U};
constexpr auto patience_ms = milliseconds{3500};
constexpr auto tries_for_ms = milliseconds{15000};
constexpr auto again_ms = milliseconds{300};

/// A program whose turns have long inputs.
struct long_program {
  std::string name_;
  std::string newest_turn_;
  std::string history_;
  int attempts_ = 0;
};

/// Sends turns of programs to the one gateway of a fleet.
class turn_sender {
 public:
  turn_sender(event_loop& loop, soak::soak_fleet& fleet, soak::soak_ledger& ledger)
      : loop_{&loop}, fleet_{&fleet}, ledger_{&ledger} {}

  /// Starts to run turns until `turns` of them were answered whole, each with an input of `bytes`.
  auto begin(long_program& program, int turns, std::size_t bytes) -> void {
    ++running_;
    start(*loop_, "run", run(program, turns, bytes));
  }

  [[nodiscard]] auto running() const -> int { return running_; }
  [[nodiscard]] auto served() const -> int { return served_; }

 private:
  auto run(long_program& program, int turns, std::size_t bytes) -> task<> {
    auto give_up_at = clock_.now() + turns * tries_for_ms;
    for (auto whole = 0; whole < turns && clock_.now() < give_up_at;) {
      auto served = co_await run_turn(program, bytes);
      whole += served ? 1 : 0;
      served_ += served ? 1 : 0;
      if (!served) {
        co_await pause_for(*loop_, again_ms);
      }
    }
    --running_;
  }

  auto run_turn(long_program& program, std::size_t bytes) -> task<bool> {
    auto id = program.name_ + "-" + std::to_string(++program.attempts_);
    auto request = std::make_shared<http_request>(http::verb::post, "/turn/x", 11);
    request->set(http::field::host, "soak.example");
    request->set(names::time_left, std::to_string(patience_ms));
    request->set(names::request_id, id);
    request->set(names::program, program.name_);
    request->set(names::session, "s");
    request->set(names::token_usage, "100,16");
    if (!program.newest_turn_.empty()) {
      request->set(names::previous_turn, program.newest_turn_);
    }
    request->body() = std::string(bytes, 'x');
    request->prepare_payload();
    ledger_->sent(id, program.history_ + request->body(), false);
    auto opened = co_await outgoing_connection::open(*loop_, value(parse_address(fleet_->caller_address(0))),
                                                     patience_ms);
    auto* connection = std::get_if<std::shared_ptr<outgoing_connection>>(&opened);
    if (connection == nullptr) {
      co_return false;
    }
    (*connection)->send(request, patience_ms);
    auto head = co_await (*connection)->read_head();
    auto* answer = std::get_if<http_response>(&head);
    auto served = answer != nullptr && answer->result() == http::status::ok;
    auto last = !served;
    auto events = event_stream{};
    auto output = std::string{};
    while (!last) {
      auto piece = co_await (*connection)->read_piece();
      auto* got = std::get_if<body_piece>(&piece);
      served = got != nullptr;
      last = !served || got->last_;
      for (const auto& event : events.feed(served ? got->bytes_ : std::string{})) {
        output += event.data_ + "\n";
      }
    }
    (*connection)->abort();
    if (served) {
      program.newest_turn_ = id;
      program.history_ += request->body() + output;
    }
    co_return served;
  }

  event_loop* loop_;
  soak::soak_fleet* fleet_;
  soak::soak_ledger* ledger_;
  steady_clock clock_;
  int running_ = 0;
  int served_ = 0;
};

}  // namespace

// Guards against histories that are read and joined for many turns at once, each within its limit: the
// process went over its memory.
TEST_CASE("turns of programs with long histories do not take a gateway over its memory") {
  constexpr auto programs = 40;
  constexpr auto turns_before = 5;
  constexpr auto input_bytes = std::size_t{400'000};
  auto settings = soak::soak_settings{};
  settings.binary_ = tested_program();
  settings.gateways_ = 1;
  settings.engines_ = 2;
  settings.services_ = 1;
  settings.accounts_ = false;
  auto loop = event_loop{1};
  auto ledger = soak::soak_ledger{};
  auto opened = soak::soak_fleet::create(loop, settings, ledger);
  REQUIRE(ok(opened));
  auto& fleet = *value(opened);
  start(loop, "look_at_all", fleet.look_at_all());
  auto run_until = [&](const std::function<bool()>& condition, milliseconds limit) {
    auto clock = steady_clock{};
    auto until = clock.now() + limit;
    while (!condition() && clock.now() < until) {
      loop.run_for(std::chrono::milliseconds{20});
    }
    return condition();
  };
  REQUIRE(run_until([&] { return fleet.gateways().front().ready_; }, 15000));
  auto all = std::vector<long_program>(programs);
  auto sender = turn_sender{loop, fleet, ledger};
  for (auto number = 0; number < programs; ++number) {
    auto& program = all.at(static_cast<std::size_t>(number));
    program.name_ = "long-" + std::to_string(number);
    sender.begin(program, turns_before, input_bytes);
    if (number % 4 == 3) {
      CHECK(run_until([&] { return sender.running() == 0; }, 120000));
    }
  }
  auto continue_all = [&] {
    auto before = sender.served();
    for (auto& program : all) {
      sender.begin(program, 1, input_bytes);
    }
    CHECK(run_until([&] { return sender.running() == 0; }, 60000));
    CHECK(sender.served() == before + programs);
    auto& process = *fleet.gateways().front().process_;
    CHECK(process.peak_memory() < soak::soak_settings::memory_mb * bytes_per_mb);
    CHECK_FALSE(process.unasked_end());
  };
  continue_all();
  // The next process does not know how long the histories are.
  fleet.kill_gateway(0);
  fleet.start_gateway(0);
  REQUIRE(run_until([&] { return fleet.gateways().front().answered_; }, 15000));
  REQUIRE(run_until([&] { return fleet.gateways().front().ready_; }, 15000));
  continue_all();
  CHECK(ledger.faults().empty());
}

}  // namespace birchlever::test

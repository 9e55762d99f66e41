/// Case 3: one gateway is killed while three turns of a looping program run there. Do the program's turns
/// together stay within its budget, plus the most of one turn?
#include <iostream>
#include <thread>

#include "../stand_ins/agent.h"

namespace review {
namespace {

using json = nlohmann::json;

constexpr auto gateways = 2;
constexpr auto max_tokens = 128;
constexpr auto budget = std::int64_t{12} * max_tokens;
constexpr auto lines = 3;                                                 // Sub-agents that run side by side.
constexpr auto handed_before_kill = std::int64_t{13} * tokens_per_event;  // Of 16 events of each turn.
constexpr auto down_ms = std::int64_t{500};     // The platform starts a killed process again.
constexpr auto away_ms = std::int64_t{13'000};  // The stopped program returns, within retention_s.
constexpr auto retention_s = 60;
constexpr auto most_turns = 40;
constexpr auto most_tries = 3;  // A failed turn is sent anew twice.

/// The one program, and the tokens that its client was handed.
class looping_program {
 public:
  looping_program(deployment& fleet, record& out) : fleet_{&fleet}, record_{&out} {}

  /// Sends a turn under a new request id.
  auto send(int gateway, const std::string& line, const std::string& previous,
            const std::function<void(std::int64_t)>& received = nullptr)
      -> std::pair<std::string, turn_result> {
    auto sent = turn{};
    {
      auto guard = std::lock_guard{lock_};
      sent.id_ = "t" + std::to_string(++turns_);
    }
    sent.program_ = "looping";
    sent.session_ = line;
    sent.previous_ = previous;
    sent.input_ = "input of " + sent.id_ + "\n";
    sent.budget_ = budget;
    sent.max_tokens_ = max_tokens;
    auto result = send_turn(fleet_->front(gateway), sent, *record_, received);
    auto guard = std::lock_guard{lock_};
    handed_ += result.tokens_;
    return {sent.id_, result};
  }

  /// Sends one turn of each line at once, through the first gateway. Gives the ids of those answered whole.
  auto send_lines(const std::vector<std::string>& previous, std::vector<std::int64_t>& handed)
      -> std::vector<std::string> {
    auto ends = std::vector<std::string>(previous.size());
    auto threads = std::vector<std::thread>{};
    for (auto line = std::size_t{0}; line < previous.size(); ++line) {
      threads.emplace_back([&, line] {
        auto [id, result] = send(0, "line" + std::to_string(line), previous[line], [&](std::int64_t tokens) {
          auto guard = std::lock_guard{lock_};
          handed[line] = tokens;
        });
        ends[line] = result.whole_ && result.status_ == 200 ? id : std::string{};
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    return ends;
  }

  /// Goes on turn by turn until the budget is spent, or until a turn failed three times.
  auto go_on(int gateway, std::string previous) -> std::string {
    auto tries = 0;
    for (auto count = 0; count < most_turns && tries < most_tries; ++count) {
      auto [id, result] = send(gateway, "main", previous);
      if (result.status_ == 402) {
        return previous;
      }
      auto whole = result.status_ == 200 && result.whole_;
      previous = whole ? id : previous;
      tries = whole ? 0 : tries + 1;
      sleep_ms(whole ? 20 : std::max<std::int64_t>(result.retry_ms_, 300));
    }
    return previous;
  }

  auto handed() -> std::int64_t {
    auto guard = std::lock_guard{lock_};
    return handed_;
  }

  auto least_of(const std::vector<std::int64_t>& handed) -> std::int64_t {
    auto guard = std::lock_guard{lock_};
    return *std::min_element(handed.begin(), handed.end());
  }

 private:
  deployment* fleet_;
  record* record_;
  std::mutex lock_;
  int turns_ = 0;
  std::int64_t handed_ = 0;
};

auto run_case(const std::string& record_file) -> int {
  auto out = record{record_file};
  static auto platform = store{"127.0.0.1"};
  configure(platform,
            json::array({route("turn", "streaming", "asistente", 5000,
                               {{"retained", true}, {"retention_s", retention_s}})}),
            json::array({engine_service("asistente")}));
  static auto first = engine{platform, "engine-1", 64, 50, out};
  static auto second = engine{platform, "engine-2", 64, 50, out};
  auto fleet = deployment{platform, {std::vector<std::string>(gateways, "zone-a")}};
  fleet.start_all(gateways);
  auto program = looping_program{fleet, out};
  auto [root, rooted] = program.send(0, "main", "");
  auto handed = std::vector<std::int64_t>(lines);
  auto started = program.send_lines(std::vector<std::string>(lines, root), handed);
  for (const auto& line : started) {
    if (!rooted.whole_ || line.empty()) {
      cannot_run("the first turns were not served");
    }
  }
  handed.assign(lines, 0);
  auto kill_amid = std::thread{[&] { program.send_lines(started, handed); }};
  if (with_trouble()) {
    auto due = now_ms() + 4000;
    while (program.least_of(handed) < handed_before_kill && now_ms() < due) {
      sleep_ms(1);
    }
    out.write("gateway 1 is killed");
    fleet.kill(0);
  }
  kill_amid.join();
  auto killed_at = now_ms();
  if (with_trouble()) {
    sleep_ms(down_ms);
    fleet.start(0);
    out.write("gateway 1 is started again");
  }
  auto last = program.go_on(1, started.front());
  out.write("the program is stopped, " + std::to_string(program.handed()) + " tokens handed so far");
  sleep_ms(killed_at + away_ms - now_ms());
  out.write("the program returns");
  program.go_on(1, last);
  auto allowed = budget + max_tokens;
  out.write("tokens handed: " + std::to_string(program.handed()) + ", budget " + std::to_string(budget) +
            " + the most of one turn " + std::to_string(max_tokens) + " = " + std::to_string(allowed));
  std::cout << "tokens handed: " << program.handed() << ", allowed: " << allowed << "\n";
  return program.handed() > allowed ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  auto status = review::run_case(argc > 1 ? argv[1] : "record.txt");
  std::cout << std::flush;
  std::_Exit(status);  // The stand-ins' threads never end.
}

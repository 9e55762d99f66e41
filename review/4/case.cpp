/// After a restart of all processes, new programs go on from turns of before. Some never reach an engine,
/// some get 404.
#include "../fakes/deployment.h"

namespace review {
namespace {

constexpr auto programs = 32;
constexpr auto min_turns = 6;
constexpr auto max_turns = 22;        // Of a boundary-review.
constexpr auto input_bytes = 31'000;  // The largest request of the site's sheet.
constexpr auto down_ms = 1'600;       // The longest `down_s` of a final fault of the site.
constexpr auto per_turn = 2;          // One in each zone.
constexpr auto ask_gap_ms = 35;       // Between the first asks of two new programs.
constexpr auto recovery_ms = 12'000;
constexpr auto last_ms = 4'000;

struct old_program {
  std::string name_;
  std::string last_turn_;
  std::string history_;
};

auto run_program(deployment& deployed, record& log, int number) -> std::optional<old_program> {
  auto made = old_program{"old" + std::to_string(number), "", ""};
  auto turns = min_turns + number * 11 % (max_turns - min_turns + 1);
  for (auto step = 0; step < turns; ++step) {
    auto id = made.name_ + "t" + std::to_string(step);
    auto input = std::string(input_bytes, static_cast<char>('a' + number % 26));
    auto seen = send_turn(deployed.gateway_at(number % 2), {id, made.name_, "s", made.last_turn_, input, {}});
    log.line("turn " + id + " status " + std::to_string(seen.status_) +
             (seen.whole_ ? " whole" : " not whole"));
    if (seen.status_ != 200 || !seen.whole_) {
      return std::nullopt;
    }
    made.history_ += input + engine::output(id, 3);
    made.last_turn_ = id;
  }
  return made;
}

struct state {
  std::mutex mutex_;
  std::vector<std::string> stuck_;    ///< Turns from which no engine was reached.
  std::vector<std::string> unknown_;  ///< Turns that were answered with 404.
  int fresh_sent_ = 0;
  int fresh_served_ = 0;
};

/// Asks until an engine runs the turn, or recovery_s is over.
auto go_on(deployment& deployed, record& log, const old_program& from, int number, long until, state& shared)
    -> void {
  for (auto attempt = 0; now_ms() < until; ++attempt) {
    auto id = "new" + std::to_string(number) + "a" + std::to_string(attempt);
    auto seen = send_turn(deployed.gateway_at(number % 2),
                          {id, "new" + std::to_string(number), "s", from.last_turn_, "go on", {}});
    auto ran = deployed.runs().count(id) > 0;
    log.line("turn " + id + " goes on from " + from.last_turn_ + " at gateway " + std::to_string(number % 2) +
             ": status " + std::to_string(seen.status_) + (ran ? " ran " : " not run ") + seen.detail_ + " " +
             std::to_string(seen.took_ms_) + " ms " + (seen.status_ == 200 ? "" : seen.body_));
    if (ran) {
      return;
    }
    if (seen.status_ == 404) {  // Ends the program.
      auto lock = std::lock_guard{shared.mutex_};
      shared.unknown_.push_back(from.last_turn_);
      return;
    }
    auto pause_ms = 100 + (number * 37 + attempt * 101) % 300;
    auto asked_ms = seen.retry_after_.empty() ? 0 : static_cast<int>(std::stod(seen.retry_after_) * 1000);
    usleep(1000 * std::max(pause_ms, asked_ms));
  }
  auto lock = std::lock_guard{shared.mutex_};
  shared.stuck_.push_back(from.last_turn_);
}

auto play(deployment& deployed, record& log) -> int {
  auto old = std::vector<std::optional<old_program>>(programs);
  auto threads = std::vector<std::thread>{};
  for (auto number = 0; number < programs; ++number) {
    threads.emplace_back([&, number] { old[number] = run_program(deployed, log, number); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  threads.clear();
  for (const auto& one : old) {
    if (!one) {
      log.line("a program of before did not run to its end");
      return 2;
    }
  }
  if (with_trouble()) {
    log.line("all gateways are killed");
    deployed.gateway_at(0).kill_now();
    deployed.gateway_at(1).kill_now();
  }
  auto shared = state{};
  auto killed_at = now_ms();
  auto until = killed_at + (with_trouble() ? down_ms : 0) + recovery_ms;
  // Two new programs go on from each turn, one in each zone.
  for (auto number = 0; number < per_turn * programs; ++number) {
    threads.emplace_back([&, number] {
      usleep(1000 * ask_gap_ms * number);
      go_on(deployed, log, *old[number / per_turn], number, until, shared);
    });
  }
  if (with_trouble()) {
    usleep(1000 * (down_ms - (now_ms() - killed_at)));
    log.line("all gateways are started again");
    deployed.gateway_at(0).start(false);
    deployed.gateway_at(1).start(false);
  }
  for (auto number = 0; now_ms() < until; ++number) {
    auto id = "fresh" + std::to_string(number);
    auto counted = now_ms() > until - last_ms;
    auto seen = send_turn(deployed.gateway_at(number % 2), {id, id, "s", "", "hello", {}});
    if (counted) {
      ++shared.fresh_sent_;
      shared.fresh_served_ += seen.whole_ && seen.status_ == 200 ? 1 : 0;
    }
    usleep(100'000);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  log.line("other turns in the last 4 s: " + std::to_string(shared.fresh_served_) + " of " +
           std::to_string(shared.fresh_sent_) + " served");
  for (const auto& turn : shared.stuck_) {
    log.line("BROKEN: no engine was reached by recovery_s going on from " + turn);
  }
  for (const auto& turn : shared.unknown_) {
    log.line("BROKEN: 404 going on from " + turn + ", which was answered whole");
  }
  auto served = shared.fresh_served_ * 5 >= shared.fresh_sent_ * 4;
  return !shared.unknown_.empty() || (!shared.stuck_.empty() && served) ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int /*count*/, char** arguments) -> int {
  return review::run_case(arguments[1], review::play);
}

/// After a restart of all processes, reservations that were leased for next turns stay counted although no
/// turn uses them: a program whose budget is hardly used reaches no engine.
#include "../fakes/deployment.h"

namespace review {
namespace {

constexpr auto max_tokens = 120;
constexpr auto budget = 520L;
constexpr auto lines = 3;  // Sub-agents side by side: the site's mean.
constexpr auto tokens_per_event = 3;
constexpr auto down_ms = 1'600;  // The longest `down_s` of a final fault of the site.
constexpr auto recovery_ms = 12'000;
constexpr auto last_ms = 4'000;

/// What the case counts; used by several threads.
struct counts {
  std::atomic<long> tokens_ = 0;  ///< Handed to the client of the program.
  std::atomic<int> fresh_sent_ = 0;
  std::atomic<int> fresh_served_ = 0;
};

auto pause_ms(long duration) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds{duration});
}

/// Sends a turn of the program and notes what came. Returns true if an engine ran it.
auto play_turn(deployment& deployed, record& log, counts& seen, int gateway, const std::string& id,
               const std::string& session, const std::string& previous, outcome* answer = nullptr) -> bool {
  auto sent = turn{id, "program", session, previous, "input of " + id, budget};
  sent.max_tokens_ = max_tokens;
  auto got = send_turn(deployed.gateway_at(gateway), sent);
  auto ran = deployed.runs().count(id) > 0;
  auto from = std::size_t{0};
  while (got.status_ == 200 && (from = got.body_.find("data:", from)) != std::string::npos) {
    seen.tokens_ += tokens_per_event;
    ++from;
  }
  log.line("turn " + id + " after '" + previous + "' at gateway " + std::to_string(gateway) + ": status " +
           std::to_string(got.status_) + (got.whole_ ? " whole" : " not whole") +
           (ran ? ", ran" : ", not run") + ", " + std::to_string(seen.tokens_) + " of " +
           std::to_string(budget) + " tokens handed so far " + (got.status_ == 200 ? "" : got.body_));
  if (answer != nullptr) {
    *answer = got;
  }
  return ran;
}

/// Sends first turns of other programs until a time, and counts those of the last 4 s.
auto send_fresh(deployment& deployed, counts& seen, long until) -> void {
  for (auto number = 0; now_ms() < until; ++number) {
    auto id = "fresh" + std::to_string(number);
    auto counted = now_ms() > until - last_ms;
    auto got = send_turn(deployed.gateway_at(number % 2), {id, id, "s", "", "hello", {}});
    if (counted) {
      ++seen.fresh_sent_;
      seen.fresh_served_ += got.status_ == 200 && got.whole_ ? 1 : 0;
    }
    pause_ms(100);
  }
}

/// Sends the next turn until an engine runs it or the time is over. Returns false if none did.
auto ask_until(deployment& deployed, record& log, counts& seen, const std::string& name,
               const std::string& previous, std::string& served, long until) -> bool {
  for (auto attempt = 0; now_ms() < until; ++attempt) {
    auto id = name + "a" + std::to_string(attempt);
    auto got = outcome{};
    if (play_turn(deployed, log, seen, attempt % 2, id, "main", previous, &got)) {
      served = id;
      return true;
    }
    if (got.status_ == 402) {  // Ends the program.
      return false;
    }
    auto asked_ms = got.retry_after_.empty() ? 0L : static_cast<long>(std::stod(got.retry_after_) * 1000);
    pause_ms(std::max(300L, asked_ms));
  }
  return false;
}

auto play(deployment& deployed, record& log) -> int {
  pause_ms(3'000);  // Traffic starts some seconds after the machines do.
  auto seen = counts{};
  if (!play_turn(deployed, log, seen, 0, "first", "main", "")) {
    return 2;
  }
  auto threads = std::vector<std::thread>{};
  for (auto number = 0; number < lines; ++number) {
    threads.emplace_back([&, number] {
      auto name = "line" + std::to_string(number);
      play_turn(deployed, log, seen, 0, name, name, "first");
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  auto until = now_ms() + recovery_ms;
  if (with_trouble()) {
    log.line("all gateways are killed");
    deployed.gateway_at(0).kill_now();
    deployed.gateway_at(1).kill_now();
    pause_ms(down_ms);
    log.line("all gateways are started again");
    until = now_ms() + recovery_ms;
    if (!deployed.start(false)) {
      return 2;
    }
  }
  auto other = std::thread{[&] { send_fresh(deployed, seen, until); }};
  auto previous = std::string{"first"};
  auto reached = true;
  for (auto number = 0; reached && number < 4; ++number) {
    auto served = std::string{};
    reached = ask_until(deployed, log, seen, "next" + std::to_string(number), previous, served, until);
    previous = reached ? served : previous;
  }
  other.join();
  log.line("other turns in the last 4 s: " + std::to_string(seen.fresh_served_) + " of " +
           std::to_string(seen.fresh_sent_) + " served");
  auto broken = !reached && seen.fresh_served_ * 5 >= seen.fresh_sent_ * 4;
  if (broken) {
    log.line("BROKEN: going on from " + previous + " reached no engine by recovery_s; " +
             std::to_string(seen.tokens_) + " of " + std::to_string(budget) +
             " tokens were handed, a turn has " + std::to_string(max_tokens) + " at most");
  }
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int /*count*/, char** arguments) -> int {
  return review::run_case(arguments[1], review::play);
}

/// After an outage of the store, the turns of one program that ended during it are written in one transaction
/// that is larger than the store takes. It is repeated for a minute, and no turn of the program gets through.
#include "../fakes/deployment.h"

namespace review {
namespace {

constexpr auto lines = 6;              // Sub-agents side by side: the site's largest number.
constexpr auto input_bytes = 150'000;  // Of 4,194,304 that the config allows.
constexpr auto line_gap_ms = 60;       // Between the starts of two lines.
constexpr auto line_events = 10;
constexpr auto line_event_ms = 150;
constexpr auto outage_ms = 1'500;  // Of 4.5 s in the site's list.
constexpr auto contact_ms = 3'000;
constexpr auto tries = 8;
constexpr auto try_gap_ms = 700;

auto log_turn(record& log, deployment& deployed, const turn& sent, const outcome& seen) -> bool {
  auto ran = deployed.runs().count(sent.id_) > 0;
  log.line("turn " + sent.id_ + " of " + sent.program_ + " after '" + sent.previous_ + "', " +
           std::to_string(sent.input_.size()) + " bytes: status " + std::to_string(seen.status_) +
           (seen.whole_ ? " whole" : " not whole") + (ran ? ", ran" : ", not run") + ", " +
           std::to_string(seen.took_ms_) + " ms " + (seen.status_ == 200 ? seen.detail_ : seen.body_));
  return ran;
}

/// Returns true if an engine ran the turn.
auto play_turn(record& log, deployment& deployed, const turn& sent) -> bool {
  auto seen = send_turn(deployed.gateway_at(0), sent);
  return log_turn(log, deployed, sent, seen);
}

auto pause_ms(long duration) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds{duration});
}

auto play(deployment& deployed, record& log) -> int {
  auto first = turn{"first", "program", "main", "", "begin", {}};
  auto seen = send_turn(deployed.gateway_at(0), first);
  log_turn(log, deployed, first, seen);
  if (seen.status_ != 200 || !seen.whole_) {
    return 2;
  }
  for (auto number = 0; number < deployment_settings{}.engines_; ++number) {
    deployed.engine_at(number).set_pace(line_events, line_event_ms);
  }
  auto threads = std::vector<std::thread>{};
  for (auto number = 0; number < lines; ++number) {
    threads.emplace_back([&, number] {
      pause_ms(number * line_gap_ms);
      auto name = "line" + std::to_string(number);
      play_turn(log, deployed, {name, "program", name, "first", std::string(input_bytes, 'x'), {}});
    });
  }
  pause_ms(lines * line_gap_ms + 3 * line_event_ms);
  if (with_trouble()) {
    log.line("the store is busy: it answers 503");
    deployed.rows().refuse_with(503);
  }
  pause_ms(outage_ms);
  deployed.rows().refuse_with(0);
  log.line("the store answers");
  for (auto number = 0; number < deployment_settings{}.engines_; ++number) {
    deployed.engine_at(number).set_pace(3, 2);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  pause_ms(contact_ms);
  auto reached = 0;
  auto fresh = 0;
  for (auto number = 0; number < tries; ++number) {
    auto id = "next" + std::to_string(number);
    reached += play_turn(log, deployed, {id, "program", "main", "first", "go on", {}}) ? 1 : 0;
    auto other = "fresh" + std::to_string(number);
    fresh += play_turn(log, deployed, {other, other, "main", "", "hello", {}}) ? 1 : 0;
    pause_ms(try_gap_ms);
  }
  log.line(std::to_string(reached) + " of " + std::to_string(tries) +
           " tries to go on from 'first' reached an engine, " + std::to_string(fresh) + " of " +
           std::to_string(tries) + " first turns did");
  auto broken = reached == 0 && fresh * 10 >= tries * 9;
  if (broken) {
    log.line("BROKEN: a turn that names a turn answered whole reaches no engine");
  }
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int /*count*/, char** arguments) -> int {
  return review::run_case(arguments[1], review::play);
}

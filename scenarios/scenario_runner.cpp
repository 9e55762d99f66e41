#include "scenarios/scenario_runner.h"

#include <signal.h>

#include <chrono>

#include "birchlever/rpc/generated/peer.h"
#include "birchlever/rpc/peer_client_pool.h"

namespace birchlever::scenarios {
namespace {

using nlohmann::json;

constexpr auto calls_patience_ms = 40000;
constexpr auto owner_patience_s = 20;
constexpr auto stop_patience_s = 20;
constexpr auto configuration_patience_ms = 8000;
constexpr auto racers = 6;
constexpr auto longest_quote = std::size_t{200};

auto now_us() -> std::int64_t {
  auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

auto whole(const scenario_step& step, std::size_t place, int standard) -> int {
  return place < step.numbers_.size() ? static_cast<int>(step.numbers_[place]) : standard;
}

/// The number behind a word: `load programs 4 calls 6` has 6 behind "calls".
auto number_behind(const scenario_step& step, const std::string& word, double standard) -> double {
  auto place = std::size_t{0};
  if (step.subject_ == word) {
    return step.numbers_.empty() ? standard : step.numbers_.front();
  }
  for (const auto& name : step.names_) {
    ++place;
    if (name == word && place < step.numbers_.size()) {
      return step.numbers_[place];
    }
  }
  return standard;
}

}  // namespace

scenario_runner::scenario_runner(const scenario& plan, int number, const std::string& binaries,
                                 const std::string& logs, const std::string& without)
    : plan_{plan}, fleet_{plan, number, binaries, logs, without}, load_{fleet_}, invariants_{fleet_, load_} {}

scenario_runner::~scenario_runner() = default;

auto scenario_runner::run() -> scenario_outcome {
  auto outcome = scenario_outcome{};
  if (!fleet_.start()) {
    violations_.push_back("the fleet did not get ready");
    note_ends();
    outcome.violations_ = violations_;
    return outcome;
  }
  for (const auto& step : plan_.steps_) {
    take(step);
  }
  load_.wait();
  note_ends();
  outcome.ran_ = true;
  outcome.violations_ = violations_;
  return outcome;
}

auto scenario_runner::note_ends() -> void {
  for (const auto& end : fleet_.unasked_ends()) {
    violations_.push_back("a process ended by itself: " + end);
  }
}

auto scenario_runner::daemon_of(const scenario_step& step) -> int {
  auto by_program = !step.names_.empty() && step.names_.front() == "owner";
  if (step.subject_ == "owner" || by_program) {
    auto [account, program] = load_.programs().front();
    return fleet_.owner_of(account, program);
  }
  return whole(step, 0, 1);
}

auto scenario_runner::take(const scenario_step& step) -> void {
  switch (step.verb_) {
    case step_verb::start:
    case step_verb::stop:
    case step_verb::kill:
    case step_verb::freeze:
    case step_verb::thaw:
      process_step(step);
      break;
    case step_verb::cut:
    case step_verb::lose_answers:
    case step_verb::heal:
      link_step(step);
      break;
    case step_verb::fault:
      fleet_.set_fault(step.subject_, step.numbers_.size() > 1 ? whole(step, 0, 1) : 0, step.names_.front(),
                       step.numbers_.back());
      break;
    case step_verb::leave:
      fleet_.leave_engine(whole(step, 0, 1));
      left_us_[whole(step, 0, 1)] = now_us();
      break;
    case step_verb::run_load:
    case step_verb::wait_load:
    case step_verb::wait_ms:
    case step_verb::wait_calls:
    case step_verb::wait_owner:
      load_step(step);
      break;
    case step_verb::operate: {
      auto answer = fleet_.operate(1, step.names_.front());
      if (answer.status_ != 200) {
        violated(step, {"the statement failed: " + answer.body_});
      }
      break;
    }
    case step_verb::race:
      race();
      break;
    case step_verb::roll:
      if (step.subject_ == "together") {
        stop_all();
      } else {
        roll();
      }
      break;
    case step_verb::stranger:
      stranger();
      break;
    case step_verb::expect:
      expect(step);
      break;
  }
}

auto scenario_runner::process_step(const scenario_step& step) -> void {
  auto daemon = daemon_of(step);
  switch (step.verb_) {
    case step_verb::start:
      fleet_.start_daemon(daemon);
      if (!fleet_.await_ready(daemon)) {
        violated(step, {"the daemon did not get ready"});
      }
      break;
    case step_verb::stop:
      fleet_.signal_daemon(daemon, SIGTERM);
      exit_code_ = fleet_.await_exit(daemon, stop_patience_s);
      break;
    case step_verb::kill:
      fleet_.signal_daemon(daemon, SIGKILL);
      break;
    case step_verb::freeze:
      fleet_.signal_daemon(daemon, SIGSTOP);
      break;
    default:
      for (auto index = 1; index <= fleet_.daemons(); ++index) {
        fleet_.signal_daemon(index, SIGCONT);
      }
      break;
  }
}

auto scenario_runner::link_step(const scenario_step& step) -> void {
  auto state = step.verb_ == step_verb::cut    ? "cut"
               : step.verb_ == step_verb::heal ? "healthy"
                                               : "answers_lost";
  auto daemon = daemon_of(step);
  auto target = step.names_.empty() ? std::string{"store"} : step.names_.back();
  auto other = whole(step, 1, 1);
  if (target == "daemon") {
    target = "peer:" + fleet_.peer_address(other);
  }
  if (target == "engine") {
    target = fleet_.engine_address(other).text();
  }
  fleet_.set_link(daemon, target, state);
}

auto scenario_runner::load_step(const scenario_step& step) -> void {
  switch (step.verb_) {
    case step_verb::run_load: {
      auto plan = load_plan{};
      plan.programs_ = static_cast<int>(number_behind(step, "programs", plan.programs_));
      plan.calls_ = static_cast<int>(number_behind(step, "calls", plan.calls_));
      plan.budget_ =
          static_cast<std::int64_t>(number_behind(step, "budget", static_cast<double>(plan.budget_)));
      plan.answer_tokens_ = static_cast<int>(number_behind(step, "tokens", plan.answer_tokens_));
      plan.patience_s_ = static_cast<int>(number_behind(step, "patience", plan.patience_s_));
      plan.seed_ = static_cast<std::uint64_t>(number_behind(step, "seed", 1));
      load_.run(plan);
      break;
    }
    case step_verb::wait_load:
      load_.wait();
      break;
    case step_verb::wait_calls: {
      auto wanted = whole(step, 0, 1);
      (void)eventually(calls_patience_ms, [&] { return load_.finished() >= wanted; });
      break;
    }
    case step_verb::wait_owner:
      if (!fleet_.await_owners(owner_patience_s)) {
        violated(step, {"some shard has no owner"});
      }
      break;
    default: {
      auto until = now_us() + whole(step, 0, 0) * std::int64_t{1000};
      (void)eventually(whole(step, 0, 0) + 1000, [&] { return now_us() >= until; });
      break;
    }
  }
}

/// Operators issue conflicting changes at the same moment, each against the same generation.
auto scenario_runner::race() -> void {
  auto shown = json::parse(fleet_.operate(1, "show configuration").body_, nullptr, false);
  auto generation = shown["rows"][0].value("generation", 0);
  auto codes = std::vector<int>(racers, 0);
  auto threads = std::vector<std::thread>{};
  for (auto racer = 0; racer < racers; ++racer) {
    threads.emplace_back([&, racer] {
      auto daemon = 1 + racer % fleet_.daemons();
      auto statement = "create policy racer" + std::to_string(racer) + " using least_loaded if generation " +
                       std::to_string(generation);
      codes[static_cast<std::size_t>(racer)] = fleet_.operate(daemon, statement).status_;
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  for (auto code : codes) {
    race_winners_ += code == 200 ? 1 : 0;
    race_conflicts_ += code == 409 ? 1 : 0;
  }
  watch_generations();
}

auto scenario_runner::watch_generations() -> void {
  for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
    auto body = json::parse(fleet_.operate(daemon, "show configuration").body_, nullptr, false);
    if (!body.is_object() || body["rows"].empty()) {
      continue;
    }
    auto generation = body["rows"][0].value("generation", std::int64_t{0});
    auto& highest = highest_generation_[daemon];
    if (generation < highest) {
      violations_.push_back("daemon " + std::to_string(daemon) + " went back to generation " +
                            std::to_string(generation));
    }
    highest = std::max(highest, generation);
  }
}

/// Every daemon is stopped as planned and started again, one after the other.
auto scenario_runner::roll() -> void {
  for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
    fleet_.signal_daemon(daemon, SIGTERM);
    auto code = fleet_.await_exit(daemon, stop_patience_s);
    exit_code_ = std::max(exit_code_, code < 0 ? 255 : code);
    fleet_.start_daemon(daemon);
    if (!fleet_.await_ready(daemon)) {
      violations_.push_back("daemon " + std::to_string(daemon) + " did not come back");
    }
  }
}

/// All daemons are stopped as planned at the same moment, then all are started again.
auto scenario_runner::stop_all() -> void {
  for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
    fleet_.signal_daemon(daemon, SIGTERM);
  }
  for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
    auto code = fleet_.await_exit(daemon, stop_patience_s);
    exit_code_ = std::max(exit_code_, code < 0 ? 255 : code);
  }
  for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
    fleet_.start_daemon(daemon);
  }
}

/// Someone without a key of the fleet talks to a peer port.
auto scenario_runner::stranger() -> void {
  auto pool = value(peer_client_pool::create(peer_pool_settings{}));
  auto reply = rpc::text_reply{};
  (void)pool->call(fleet_.peer_address(1), 2000, [&](rpc::peerClient& client) {
    auto sender = rpc::envelope{};
    sender.fleet_key = "not-the-key";
    client.query(reply, sender, "show programs");
  });
  if (!reply.__isset.failure) {
    violations_.push_back("a stranger's message was answered");
  }
}

auto scenario_runner::violated(const scenario_step& step, const std::vector<std::string>& sentences) -> void {
  for (const auto& sentence : sentences) {
    violations_.push_back("line " + std::to_string(step.line_) + ": " + sentence);
  }
}

auto scenario_runner::expect_generation(int at_least) -> std::vector<std::string> {
  auto behind = std::string{};
  auto everywhere = eventually(configuration_patience_ms, [&] {
    behind.clear();
    for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
      watch_generations();
      if (highest_generation_[daemon] < at_least) {
        behind = "daemon " + std::to_string(daemon) + " has generation " +
                 std::to_string(highest_generation_[daemon]);
      }
    }
    return behind.empty();
  });
  return everywhere ? std::vector<std::string>{} : std::vector<std::string>{behind + " after 8 s"};
}

auto scenario_runner::expect_counts(const scenario_step& step) -> std::vector<std::string> {
  auto counts = fleet_.get_json(fleet_.platform_address(), "/counts");
  auto kind = step.names_.empty() ? std::string{"writes"} : step.names_.front();
  auto seen = counts.value(kind, std::int64_t{0});
  auto most = whole(step, 0, 0);
  if (seen > most) {
    return {std::to_string(seen) + " " + kind + " at the store, more than " + std::to_string(most)};
  }
  return {};
}

/// A daemon refused calls with the type named, by its own metrics page.
auto scenario_runner::expect_refused(const scenario_step& step) -> std::vector<std::string> {
  auto pool = value(http_connection_pool::create(http_pool_settings{}));
  auto page = pool->request(fleet_.daemon_address(whole(step, 0, 1)), "GET", "/metrics", "");
  auto wanted = "refusals_total{type=\"" + step.names_.front() + "\"}";
  auto body = ok(page) ? value(page).body_ : "no metrics page: " + failure(page).detail_;
  if (body.find(wanted) != std::string::npos) {
    return {};
  }
  return {"no refusal of type " + step.names_.front() + "; the page has " +
          body.substr(std::min(body.size(), body.find("refusals_total")), longest_quote)};
}

/// Programs ran under both policies, and one statement tells how they compare.
auto scenario_runner::expect_compared(const scenario_step& step) -> std::vector<std::string> {
  auto answer = fleet_.operate(2, "compare policies " + step.names_.at(0) + ", " + step.names_.at(1));
  auto body = json::parse(answer.body_, nullptr, false);
  if (answer.status_ != 200 || !body.is_object()) {
    return {"no comparison: " + answer.body_};
  }
  auto broken = std::vector<std::string>{};
  for (const auto& row : body["rows"]) {
    if (row.value("programs", 0) == 0 || row.value("p95_ms", 0.0) <= 0) {
      broken.push_back("no program's latency under " + row.value("policy", ""));
    }
  }
  auto told = body["verdicts"].size() == 1 && body["verdicts"][0].contains("faster");
  if (!told || body["rows"].size() != 2) {
    broken.push_back("the comparison has no verdict: " + answer.body_);
  }
  return broken;
}

auto scenario_runner::expect(const scenario_step& step) -> void {
  invariants_.collect();
  const auto& what = step.subject_;
  if (what == "order") {
    violated(step, invariants_.order());
  } else if (what == "history") {
    violated(step, invariants_.history());
  } else if (what == "budget") {
    violated(step, invariants_.budget());
  } else if (what == "memory") {
    violated(step, invariants_.memory());
  } else if (what == "answers") {
    violated(step, invariants_.answers());
  } else if (what == "not_run") {
    violated(step, invariants_.not_run());
  } else if (what == "once") {
    violated(step, invariants_.once());
  } else if (what == "uncut") {
    violated(step, invariants_.uncut());
  } else if (what == "served") {
    auto missing = invariants_.served();
    if (!missing.empty()) {
      missing.insert(missing.begin(), fleet_.operate(3, "show calls where phase != answered limit 4").body_);
    }
    violated(step, missing);
  } else if (what == "leaving") {
    auto engine = whole(step, 0, 1);
    violated(step, invariants_.leaving(engine, left_us_[engine], whole(step, 1, 3000)));
  } else if (what == "exit") {
    if (exit_code_ != whole(step, 0, 0)) {
      violated(step, {"a planned stop ended with " + std::to_string(exit_code_)});
    }
  } else if (what == "generation") {
    violated(step, expect_generation(whole(step, 0, 1)));
  } else if (what == "counts") {
    violated(step, expect_counts(step));
  } else if (what == "refused") {
    violated(step, expect_refused(step));
  } else if (what == "prompt") {
    violated(step, invariants_.prompt_words(whole(step, 0, 1000)));
  } else if (what == "compared") {
    violated(step, expect_compared(step));
  } else if (what == "one_winner") {
    if (race_winners_ != 1 || race_winners_ + race_conflicts_ != racers) {
      violated(step, {std::to_string(race_winners_) + " of the racing changes won, " +
                      std::to_string(race_conflicts_) + " were told of a conflict"});
    }
  } else {
    violated(step, {"there is no expectation '" + what + "'"});
  }
}

}  // namespace birchlever::scenarios

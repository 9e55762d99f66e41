#include "performance_test/policy_bench.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "birchlever/policy/policy_interface.h"
#include "performance_test/bench_load.h"

namespace birchlever::performance {
namespace {

constexpr auto halls = 3;
constexpr auto report_gap_ms = 500.0;
constexpr auto report_lag_ms = 300.0;
constexpr auto late_lag_ms = 2000.0;
constexpr auto slow_factor = 4.0;

struct held_prefix {
  double tokens_ = 0;
  double used_ms_ = 0;
};

struct waiting_call {
  int priority_;
  std::int64_t arrival_;
  int program_;

  auto operator<(const waiting_call& other) const -> bool {
    return std::tie(priority_, arrival_) < std::tie(other.priority_, other.arrival_);
  }
};

struct bench_engine {
  int running_ = 0;
  std::set<waiting_call> queue_;
  std::map<int, held_prefix> held_;  ///< By program; templates by -1 - template.
  double held_tokens_ = 0;
  bool dead_ = false;
  double slow_ = 1;
  std::set<int> running_programs_;
};

enum class event_kind { ask, finish, report, fault };

struct bench_event {
  double at_ms_;
  std::int64_t order_;
  event_kind kind_;
  int subject_;
  int engine_;
  int generation_;

  auto operator>(const bench_event& other) const -> bool {
    return std::tie(at_ms_, order_) > std::tie(other.at_ms_, other.order_);
  }
};

/// One run: engines that batch, cache and report late, and the policy under test.
class bench_run {
 public:
  bench_run(const policy_settings& policy, const bench_settings& settings)
      : settings_{settings},
        shape_{shape_of(settings.workload_)},
        policy_{value(make_policy(policy))},
        aware_{policy.kind_ == policy_kind::program_aware},
        engines_(static_cast<std::size_t>(shape_.engines_)),
        views_(static_cast<std::size_t>(shape_.engines_)),
        reported_(static_cast<std::size_t>(shape_.engines_)),
        sent_(static_cast<std::size_t>(shape_.engines_)),
        done_(static_cast<std::size_t>(shape_.engines_)),
        attempt_(static_cast<std::size_t>(settings.programs_)) {}

  auto run() -> bench_outcome {
    programs_ = draw_programs(settings_);
    for (auto index = 0; index < settings_.programs_; ++index) {
      push(programs_[static_cast<std::size_t>(index)].starts_ms_, event_kind::ask, index, 0, 0);
    }
    for (auto engine = 0; engine < shape_.engines_; ++engine) {
      auto& view = views_[static_cast<std::size_t>(engine)];
      view.id_ = "engine-" + std::to_string(engine);
      view.data_hall_ = "hall-" + std::to_string(engine % halls);
      view.capacity_ = engine_capacity;
      view.cache_capacity_ = shape_.cache_tokens_;
      push(static_cast<double>(engine), event_kind::report, engine, engine, 0);
    }
    push(programs_[programs_.size() / 2].starts_ms_, event_kind::fault, 0, 0, 0);
    while (!events_.empty() && ended_ < settings_.programs_) {
      auto next = events_.top();
      events_.pop();
      now_ = next.at_ms_;
      handle(next);
    }
    finish_figures();
    return outcome_;
  }

 private:
  auto push(double at, event_kind kind, int subject, int engine, int generation) -> void {
    events_.push({at, ++order_, kind, subject, engine, generation});
  }

  auto service_ms(int prompt_missing, int answer, const bench_engine& engine) const -> double {
    auto crowding = 1 + static_cast<double>(engine.running_) / engine_capacity;
    return (prompt_missing / prefill_per_ms + answer * token_ms * crowding) * engine.slow_;
  }

  auto handle(const bench_event& event) -> void {
    switch (event.kind_) {
      case event_kind::ask:
        ask(event.subject_);
        break;
      case event_kind::finish:
        if (attempt_[static_cast<std::size_t>(event.subject_)] == event.generation_) {
          finish(event.subject_, event.engine_);
        }
        break;
      case event_kind::report:
        report(event.engine_);
        break;
      case event_kind::fault:
        break_things();
        break;
    }
  }

  auto break_things() -> void {
    if (settings_.fault_ == bench_fault::engine_slows) {
      engines_[1].slow_ = slow_factor;
    }
    if (settings_.fault_ != bench_fault::engine_dies) {
      return;
    }
    auto& lost = engines_[1];
    lost.dead_ = true;
    views_[1].usable_ = false;
    auto orphans = lost.running_programs_;
    for (const auto& waiting : lost.queue_) {
      orphans.insert(waiting.program_);
    }
    lost.queue_.clear();
    lost.held_.clear();
    lost.held_tokens_ = 0;
    for (auto program : orphans) {
      ++attempt_[static_cast<std::size_t>(program)];
      push(now_ + 200, event_kind::ask, program, 0, 0);
    }
  }

  auto report(int index) -> void {
    auto place = static_cast<std::size_t>(index);
    auto lag = settings_.fault_ == bench_fault::reports_late ? late_lag_ms : report_lag_ms;
    auto& engine = engines_[place];
    auto& history = reported_[place];
    history.push_back({now_, static_cast<double>(engine.running_), static_cast<double>(engine.queue_.size()),
                       engine.held_tokens_});
    while (history.size() > 1 && history[1][0] <= now_ - lag) {
      history.erase(history.begin());
    }
    auto& view = views_[place];
    view.running_ = history.front()[1];
    view.queued_ = history.front()[2];
    view.cache_tokens_ = history.front()[3];
    view_taken_ms_[index] = history.front()[0];
    push(now_ + report_gap_ms, event_kind::report, index, index, 0);
  }

  auto refresh_views() -> void {
    for (auto index = 0; index < shape_.engines_; ++index) {
      auto place = static_cast<std::size_t>(index);
      auto taken = view_taken_ms_[index];
      auto drop_old = [taken](std::vector<double>& times) {
        times.erase(times.begin(), std::lower_bound(times.begin(), times.end(), taken));
      };
      drop_old(sent_[place]);
      drop_old(done_[place]);
      views_[place].report_age_ms_ = now_ - taken;
      views_[place].sent_since_report_ = static_cast<double>(sent_[place].size());
      views_[place].done_since_report_ = static_cast<double>(done_[place].size());
    }
  }

  auto ask(int index) -> void {
    auto& program = programs_[static_cast<std::size_t>(index)];
    const auto& turn = program.turns_[program.turn_];
    auto call = call_view{};
    call.prompt_tokens_ = static_cast<std::int64_t>(program.history_tokens_ + turn.user_tokens_);
    call.max_tokens_ = turn.answer_tokens_ * 2;
    call.attained_tokens_ = static_cast<std::int64_t>(program.attained_);
    call.data_hall_ = "hall-" + std::to_string(index % halls);
    call.seed_ = ++asks_;
    call.cached_tokens_.assign(engines_.size(), 0);
    auto events_kept = settings_.fault_ != bench_fault::events_lost;
    for (auto engine = std::size_t{0}; engine < engines_.size(); ++engine) {
      auto shared = events_kept && template_seen_.count({program.template_, static_cast<int>(engine)}) != 0;
      call.cached_tokens_[engine] = shared ? system_tokens : 0;
    }
    if (program.last_engine_ >= 0) {
      call.cached_tokens_[static_cast<std::size_t>(program.last_engine_)] = program.history_tokens_;
    }
    refresh_views();
    auto began = std::chrono::steady_clock::now();
    auto chosen = policy_->choose(call, views_);
    decision_ns_ +=
        std::chrono::duration<double, std::nano>{std::chrono::steady_clock::now() - began}.count();
    if (!ok(chosen)) {
      ++outcome_.refusals_;
      push(now_ + 1000, event_kind::ask, index, 0, 0);
      return;
    }
    if (program.asked_ms_ == 0) {
      program.asked_ms_ = now_;
    }
    send(index, static_cast<int>(value(chosen).engine_), value(chosen).priority_);
  }

  auto send(int index, int engine_index, int priority) -> void {
    auto& program = programs_[static_cast<std::size_t>(index)];
    auto& engine = engines_[static_cast<std::size_t>(engine_index)];
    auto moved = program.last_engine_ >= 0 && program.last_engine_ != engine_index;
    if (moved && aware_) {
      release(index, program.last_engine_);  // The product gives a left prefix up; the baselines let it age.
    }
    program.last_engine_ = engine_index;
    sent_[static_cast<std::size_t>(engine_index)].push_back(now_);
    engine.queue_.insert({priority, ++order_, index});
    start_next(engine_index);
  }

  auto release(int index, int engine_index) -> void {
    auto& engine = engines_[static_cast<std::size_t>(engine_index)];
    auto held = engine.held_.find(index);
    if (held != engine.held_.end()) {
      engine.held_tokens_ -= held->second.tokens_;
      engine.held_.erase(held);
    }
    programs_[static_cast<std::size_t>(index)].holders_.erase(engine_index);
  }

  auto start_next(int engine_index) -> void {
    auto& engine = engines_[static_cast<std::size_t>(engine_index)];
    while (!engine.dead_ && engine.running_ < engine_capacity && !engine.queue_.empty()) {
      auto index = engine.queue_.begin()->program_;
      engine.queue_.erase(engine.queue_.begin());
      auto& program = programs_[static_cast<std::size_t>(index)];
      const auto& turn = program.turns_[program.turn_];
      auto prompt = program.history_tokens_ + turn.user_tokens_;
      auto held = held_for(engine, index, program);
      auto missing = std::max(0.0, prompt - held);
      if (program.turn_ > 0) {
        outcome_.recomputed_tokens_ += std::max(0.0, program.history_tokens_ - held);
      }
      auto duration = service_ms(static_cast<int>(missing), turn.answer_tokens_, engine);
      outcome_.first_token_ms_.push_back(now_ - program.asked_ms_ + missing / prefill_per_ms * engine.slow_ +
                                         token_ms);
      ++engine.running_;
      engine.running_programs_.insert(index);
      push(now_ + duration, event_kind::finish, index, engine_index,
           attempt_[static_cast<std::size_t>(index)]);
    }
  }

  auto held_for(bench_engine& engine, int index, const bench_program& program) -> double {
    auto own = engine.held_.find(index);
    if (own != engine.held_.end()) {
      own->second.used_ms_ = now_;
      return own->second.tokens_;
    }
    auto shared = engine.held_.find(-1 - program.template_);
    return shared != engine.held_.end() ? shared->second.tokens_ : 0;
  }

  auto hold(int engine_index, int key, double tokens) -> void {
    auto& engine = engines_[static_cast<std::size_t>(engine_index)];
    auto& held = engine.held_[key];
    engine.held_tokens_ += tokens - held.tokens_;
    held = {tokens, now_};
    while (engine.held_tokens_ > shape_.cache_tokens_ && engine.held_.size() > 1) {
      auto oldest = std::min_element(
          engine.held_.begin(), engine.held_.end(),
          [](const auto& left, const auto& right) { return left.second.used_ms_ < right.second.used_ms_; });
      engine.held_tokens_ -= oldest->second.tokens_;
      if (oldest->first >= 0) {
        auto& owner = programs_[static_cast<std::size_t>(oldest->first)];
        owner.holders_.erase(engine_index);
        auto dead = owner.turn_ >= owner.turns_.size();
        outcome_.dead_token_seconds_ +=
            dead ? oldest->second.tokens_ * (now_ - oldest->second.used_ms_) / 1000 : 0;
      }
      engine.held_.erase(oldest);
    }
  }

  auto finish(int index, int engine_index) -> void {
    auto& engine = engines_[static_cast<std::size_t>(engine_index)];
    auto& program = programs_[static_cast<std::size_t>(index)];
    const auto& turn = program.turns_[program.turn_];
    --engine.running_;
    engine.running_programs_.erase(index);
    done_[static_cast<std::size_t>(engine_index)].push_back(now_);
    program.history_tokens_ += turn.user_tokens_ + turn.answer_tokens_;
    program.attained_ += turn.answer_tokens_;
    program.ideal_ms_ += turn.user_tokens_ / prefill_per_ms + turn.answer_tokens_ * token_ms;
    program.asked_ms_ = 0;
    hold(engine_index, -1 - program.template_, system_tokens);
    template_seen_.insert({program.template_, engine_index});
    hold(engine_index, index, program.history_tokens_);
    program.holders_.insert(engine_index);
    if (program.holders_.size() > 1) {
      outcome_.duplicated_tokens_ +=
          program.history_tokens_ * static_cast<double>(program.holders_.size() - 1);
    }
    ++program.turn_;
    if (program.turn_ < program.turns_.size()) {
      program.ideal_ms_ += turn.pause_ms_;
      push(now_ + turn.pause_ms_, event_kind::ask, index, 0, 0);
    } else {
      end(index);
    }
    start_next(engine_index);
  }

  auto end(int index) -> void {
    auto& program = programs_[static_cast<std::size_t>(index)];
    ++ended_;
    latencies_[index] = now_ - program.starts_ms_;
    auto slowdown = latencies_[index] / std::max(1.0, program.ideal_ms_);
    auto& account = account_slowdown_[program.account_];
    account.first += slowdown;
    account.second += 1;
    if (aware_) {
      for (auto holder : std::set<int>{program.holders_}) {
        release(index, holder);
      }
    }
  }

  auto finish_figures() -> void {
    for (const auto& [index, latency] : latencies_) {
      outcome_.latencies_ms_.push_back(latency);
    }
    for (const auto& engine : engines_) {
      for (const auto& [key, held] : engine.held_) {
        auto dead = key >= 0 && programs_[static_cast<std::size_t>(key)].turn_ >=
                                    programs_[static_cast<std::size_t>(key)].turns_.size();
        outcome_.dead_token_seconds_ += dead ? held.tokens_ * (now_ - held.used_ms_) / 1000 : 0;
      }
    }
    for (const auto& [account, sum] : account_slowdown_) {
      outcome_.worst_account_slowdown_ = std::max(outcome_.worst_account_slowdown_, sum.first / sum.second);
    }
    outcome_.decision_ns_ = decision_ns_ / static_cast<double>(std::max<std::int64_t>(1, asks_));
  }

  bench_settings settings_;
  shape shape_;
  std::unique_ptr<policy_interface> policy_;
  bool aware_ = false;
  std::vector<bench_engine> engines_;
  std::vector<engine_view> views_;
  std::vector<std::vector<std::array<double, 4>>> reported_;
  std::vector<std::vector<double>> sent_;
  std::vector<std::vector<double>> done_;
  std::vector<int> attempt_;
  std::map<int, double> view_taken_ms_;
  std::set<std::pair<int, int>> template_seen_;
  std::vector<bench_program> programs_;
  std::priority_queue<bench_event, std::vector<bench_event>, std::greater<>> events_;
  std::map<int, double> latencies_;
  std::map<int, std::pair<double, double>> account_slowdown_;
  double now_ = 0;
  std::int64_t order_ = 0;
  std::int64_t asks_ = 0;
  int ended_ = 0;
  double decision_ns_ = 0;
  bench_outcome outcome_;
};

}  // namespace

auto name_of(workload kind) -> const char* {
  return kind == workload::map_viewer ? "map_viewer" : "signing_house";
}

auto name_of(bench_fault fault) -> const char* {
  constexpr auto names =
      std::array{"none", "engine_dies", "engine_slows", "events_lost", "reports_late", "hot_account"};
  return names.at(static_cast<std::size_t>(fault));
}

auto run_bench(const policy_settings& policy, const bench_settings& settings) -> bench_outcome {
  return bench_run{policy, settings}.run();
}

}  // namespace birchlever::performance

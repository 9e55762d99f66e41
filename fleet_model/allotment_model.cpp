#include "fleet_model/allotment_model.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

#include "birchlever/accounts/allotment_grantor.h"
#include "birchlever/accounts/equal_shares.h"
#include "birchlever/accounts/grantor_order.h"
#include "birchlever/accounts/reachable_share.h"
#include "birchlever/controllers/central_grants.h"
#include "fleet_model/event_queue.h"

namespace birchlever::model {
namespace {

constexpr auto account_name = "account";
constexpr auto window_ms = 5000.0;  // The rule's window, and what it allows beyond the limit there.
constexpr auto rule_overage = 1.1;
constexpr auto rule_tolerance = 20.0;
constexpr auto hearing_ms = 1200.0;         // As the daemon's own.
constexpr auto caller_tries = 6;            // Two of each of three sends of a turn.
constexpr auto longest_return_ms = 1300.0;  // Callers heed a third of the time that they have left.
constexpr auto moves = 0.3;              // Share of requests that come through another daemon than the last.
constexpr auto aim_over_duration = 2.2;  // As the shifted deployment's routes have it: 2.1 and 2.3.
constexpr auto ms_per_second = 1000.0;

/// One daemon and what it believes.
struct granting_daemon {
  granting_daemon(std::string vm, const allotment_grantor_settings& desk, const equal_shares_settings& shares,
                  std::int64_t daemons, std::shared_ptr<const clock_interface> clock)
      : order_{grantor_order_settings{vm}},
        desk_{desk},
        shares_{shares, [daemons] { return daemons; }, std::move(clock)},
        vm_{std::move(vm)} {}

  grantor_order order_;
  allotment_grantor desk_;
  equal_shares shares_;
  double granted_alone_ = 0;
  std::string vm_;
  bool cut_ = false;
  bool alive_ = true;
};

/// One program of the account.
struct sent_program {
  int requests_ = 0;  ///< In all.
  int sent_ = 0;      ///< That ran.
  int tries_ = 0;     ///< Of the present one.
  std::size_t daemon_ = 0;
  double began_ms_ = 0;
};

using program_pointer = std::shared_ptr<sent_program>;
using verdict_function = std::function<void(allotment_decision)>;

class allotment_play {
 public:
  allotment_play(const allotment_load& load, allotment_way way, std::uint64_t seed)
      : load_{load}, way_{way}, random_{seed}, limit_{load.allotment_} {}

  auto run() -> allotment_outcome {
    make_daemons();
    events_.after(load_.cut_from_ms_, [this] { cut(load_.cut_share_); });
    events_.after(load_.cut_from_ms_ + load_.cut_for_ms_, [this] { cut(0); });
    events_.after(load_.kill_at_ms_, [this] { kill(); });
    if (load_.lower_at_ms_ > 0) {
      events_.after(load_.lower_at_ms_, [this] { lower(); });
    }
    events_.after(next_arrival(), [this] { arrive(); });
    events_.run_until(load_.duration_ms_ + drain_ms);
    return conclude();
  }

 private:
  static constexpr auto drain_ms = 12000.0;

  auto chance() -> double { return std::uniform_real_distribution<double>{0, 1}(random_); }

  auto make_daemons() -> void {
    auto vms = std::vector<std::string>{};
    for (auto index = 0; index < load_.daemons_; ++index) {
      vms.push_back("vm-" + std::to_string(index));
    }
    for (const auto& vm : vms) {
      daemons_.push_back(std::make_unique<granting_daemon>(vm, desk_settings(), share_settings(),
                                                           load_.daemons_, events_.clock()));
      auto others = vms;
      others.erase(std::find(others.begin(), others.end(), vm));
      daemons_.back()->order_.set_members(std::move(others));
    }
  }

  auto desk_settings() const -> allotment_grantor_settings {
    auto settings = allotment_grantor_settings{};
    settings.buckets_.overdraft_ = load_.overdraft_;
    return settings;
  }

  auto share_settings() const -> equal_shares_settings {
    return way_ == allotment_way::equal ? equal_shares_settings{} : settings_.fallback_;
  }

  auto now() const -> milliseconds { return events_.clock()->now(); }

  auto is_hot() const -> bool {
    auto at = events_.now_ms();
    return at >= load_.hot_from_ms_ && at < load_.hot_from_ms_ + load_.hot_for_ms_;
  }

  auto next_arrival() -> double {
    auto usual = load_.allotment_.rate_per_s_ * load_.usual_share_ / load_.program_requests_;
    auto rate = usual * (is_hot() ? load_.hot_factor_ : 1) / ms_per_second;
    return std::exponential_distribution<double>{rate}(random_);
  }

  auto some_daemon() -> std::size_t {
    auto entry = std::max(1.0, load_.entry_share_ * static_cast<double>(daemons_.size()));
    return static_cast<std::size_t>(chance() * entry);
  }

  auto arrive() -> void {
    if (events_.now_ms() > load_.duration_ms_) {
      return;
    }
    auto program = std::make_shared<sent_program>();
    // Short programs and long ones, in halves, as the deployment's two routes have.
    auto spread = chance() < 0.5 ? 0.5 : 1.5;
    program->requests_ = std::max(1, static_cast<int>(load_.program_requests_ * spread));
    program->daemon_ = some_daemon();
    program->began_ms_ = events_.now_ms();
    ++outcome_.programs_;
    wanted_at_.push_back(events_.now_ms());
    send(program);
    events_.after(next_arrival(), [this] { arrive(); });
  }

  auto send(const program_pointer& program) -> void {
    if (chance() < moves || !daemons_[program->daemon_]->alive_) {
      program->daemon_ = some_daemon();
    }
    if (program->tries_ == 0) {
      ++outcome_.requests_;
    }
    if (!daemons_[program->daemon_]->alive_) {
      events_.after(load_.request_gap_ms_, [this, program] { send(program); });
      return;
    }
    auto wanted = allotment_claim{account_name, limit_, program->sent_ == 0, load_.program_requests_,
                                  static_cast<milliseconds>(load_.program_requests_ * load_.request_gap_ms_)};
    if (way_ == allotment_way::scattered) {
      wanted.starts_program_ = false;
    }
    claim(program->daemon_, wanted, [this, program](allotment_decision verdict) { take(program, verdict); });
  }

  auto take(const program_pointer& program, allotment_decision verdict) -> void {
    if (!verdict.granted_) {
      outcome_.refused_ += program->tries_ == 0 ? 1 : 0;
      if (++program->tries_ >= caller_tries) {
        outcome_.spoiled_ += program->sent_ > 0 ? 1 : 0;
        return;
      }
      auto back = std::min(static_cast<double>(verdict.retry_after_), longest_return_ms);
      events_.after(back, [this, program] { send(program); });
      return;
    }
    program->tries_ = 0;
    events_.after(static_cast<double>(verdict.wait_), [this, program] { ran(program); });
  }

  auto ran(const program_pointer& program) -> void {
    ran_at_.push_back(events_.now_ms());
    allowed_.push_back(limit_.max_requests_in(window_ms / ms_per_second) * rule_overage + rule_tolerance);
    if (++program->sent_ == program->requests_) {
      ++outcome_.completed_;
      auto unhindered = program->requests_ * load_.request_gap_ms_;
      auto took = events_.now_ms() - program->began_ms_;
      outcome_.in_time_ += took <= aim_over_duration * unhindered ? 1 : 0;
      return;
    }
    auto pause = std::exponential_distribution<double>{1 / load_.request_gap_ms_}(random_);
    events_.after(pause, [this, program] { send(program); });
  }

  // How a daemon keeps the allotment.

  auto reached(std::size_t one, std::size_t other) const -> bool {
    const auto& from = *daemons_[one];
    const auto& to = *daemons_[other];
    return from.alive_ && to.alive_ && (one == other || (!from.cut_ && !to.cut_));
  }

  auto share_of(std::size_t index) const -> double {
    auto heard = peer_reachability{};
    heard.live_ = daemons_.size() - 1;
    heard.window_ = static_cast<milliseconds>(hearing_ms);
    auto listening = events_.now_ms() - load_.kill_at_ms_ - load_.kill_pause_ms_;
    heard.receiving_for_ =
        load_.kill_share_ > 0 && listening > 0 ? static_cast<milliseconds>(listening) : heard.window_;
    auto known_cut = events_.now_ms() - load_.cut_from_ms_ >= hearing_ms;
    auto known_dead = events_.now_ms() - load_.kill_at_ms_ >= hearing_ms;
    for (auto other = std::size_t{0}; other < daemons_.size(); ++other) {
      auto lost = (known_cut && (daemons_[other]->cut_ || daemons_[index]->cut_)) ||
                  (known_dead && !daemons_[other]->alive_);
      heard.seen_ += other == index || lost ? 0 : 1;
    }
    return reachable_share(heard);
  }

  auto decide(std::size_t asker, std::size_t grantor, const allotment_claim& wanted) -> allotment_decision {
    auto& daemon = *daemons_[grantor];
    auto alone = std::exchange(daemons_[asker]->granted_alone_, 0);
    auto first = index_of(daemon.order_.primary(account_name));
    auto verdict = daemon.desk_.claim(wanted, share_of(grantor), first == grantor, alone, now());
    if (verdict.granted_ && first != grantor && reached(grantor, first)) {
      events_.after(static_cast<double>(settings_.debit_interval_),
                    [this, first] { daemons_[first]->desk_.debit(account_name, 1); });
    }
    return verdict;
  }

  static auto index_of(const std::string& vm) -> std::size_t {
    return std::stoul(vm.substr(vm.find('-') + 1));
  }

  auto claim(std::size_t daemon, const allotment_claim& wanted, const verdict_function& done) -> void {
    auto& asker = *daemons_[daemon];
    if (way_ == allotment_way::equal) {
      done(asker.shares_.decide(wanted));
      return;
    }
    ask(daemon, asker.order_.candidates(account_name, now()), 0, 0, wanted, done);
  }

  auto ask(std::size_t daemon, const std::vector<std::string>& candidates, std::size_t next, int tries,
           const allotment_claim& wanted, const verdict_function& done) -> void {
    auto& asker = *daemons_[daemon];
    if (next >= candidates.size()) {
      auto verdict = asker.shares_.decide(wanted);
      asker.granted_alone_ += verdict.granted_ ? 1 : 0;
      done(verdict);
      return;
    }
    auto grantor = index_of(candidates[next]);
    if (grantor == daemon) {
      answer(daemon, decide(daemon, grantor, wanted), done);
      return;
    }
    ++asks_;
    if (reached(daemon, grantor) && chance() >= load_.lost_share_) {
      events_.after(load_.way_ms_, [=, this] {
        auto verdict = decide(daemon, grantor, wanted);
        ++asks_;
        events_.after(load_.way_ms_, [=, this] { answer(daemon, verdict, done); });
      });
      return;
    }
    events_.after(static_cast<double>(settings_.reply_timeout_), [=, this] {
      if (tries + 1 < settings_.max_attempts_) {
        ask(daemon, candidates, next, tries + 1, wanted, done);
        return;
      }
      daemons_[daemon]->order_.record_unresponsive(candidates[next], now());
      ask(daemon, candidates, next + 1, 0, wanted, done);
    });
  }

  auto answer(std::size_t daemon, allotment_decision verdict, const verdict_function& done) -> void {
    if (verdict.granted_) {
      daemons_[daemon]->shares_.record_granted(account_name);
    }
    done(verdict);
  }

  // What goes wrong.

  auto cut(double share) -> void {
    auto count = static_cast<std::size_t>(share * static_cast<double>(daemons_.size()));
    for (auto index = std::size_t{0}; index < daemons_.size(); ++index) {
      daemons_[index]->cut_ = index < count;
    }
  }

  auto kill() -> void {
    auto count = static_cast<std::size_t>(load_.kill_share_ * static_cast<double>(daemons_.size()));
    for (auto index = std::size_t{0}; index < count; ++index) {
      daemons_[index]->alive_ = false;
    }
    events_.after(load_.kill_pause_ms_, [this, count] { restart(count); });
  }

  auto restart(std::size_t count) -> void {
    for (auto index = std::size_t{0}; index < count; ++index) {
      auto& daemon = *daemons_[index];
      daemon.desk_ = allotment_grantor{desk_settings()};
      auto count_all = [this] { return static_cast<std::int64_t>(load_.daemons_); };
      daemon.shares_ = equal_shares{share_settings(), count_all, events_.clock()};
      daemon.alive_ = true;
      for (auto& other : daemons_) {
        other->order_.record_seen(daemon.vm_);
      }
    }
  }

  auto lower() -> void {
    limit_.rate_per_s_ *= load_.lower_to_;
    limit_.burst_ *= load_.lower_to_;
    lowered_at_ = events_.now_ms();
  }

  auto conclude() -> allotment_outcome {
    auto first = std::size_t{0};
    for (auto last = std::size_t{0}; last < ran_at_.size(); ++last) {
      while (ran_at_[last] - ran_at_[first] >= window_ms) {
        ++first;
      }
      // A lower limit binds one window after it came into force.
      auto binds =
          lowered_at_ == 0 || ran_at_[last] < lowered_at_ || ran_at_[first] >= lowered_at_ + window_ms;
      auto over = static_cast<double>(last - first + 1) / allowed_[last];
      outcome_.most_over_ = binds ? std::max(outcome_.most_over_, over) : outcome_.most_over_;
    }
    auto hot_end = load_.hot_from_ms_ + load_.hot_for_ms_;
    auto hot = static_cast<double>(std::count_if(wanted_at_.begin(), wanted_at_.end(), [&](double at) {
      return at >= load_.hot_from_ms_ && at < hot_end;
    }));
    auto room = load_.allotment_.max_requests_in(load_.hot_for_ms_ / ms_per_second) / load_.program_requests_;
    outcome_.owed_ = static_cast<double>(outcome_.programs_) - hot + std::min(hot, room);
    outcome_.asks_per_s_ = static_cast<double>(asks_) * ms_per_second / load_.duration_ms_;
    return outcome_;
  }

  allotment_load load_;
  allotment_way way_;
  std::mt19937_64 random_;
  account_allotment limit_;
  central_grants_settings settings_;
  event_queue events_;
  std::vector<std::unique_ptr<granting_daemon>> daemons_;
  std::vector<double> ran_at_;
  std::vector<double> allowed_;
  std::vector<double> wanted_at_;
  double lowered_at_ = 0;
  std::int64_t asks_ = 0;
  allotment_outcome outcome_;
};

}  // namespace

auto play_allotment(const allotment_load& load, allotment_way way, std::uint64_t seed) -> allotment_outcome {
  auto play = allotment_play{load, way, seed};
  return play.run();
}

}  // namespace birchlever::model

#include "fleet_model/hot_part.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

#include "fleet_model/event_queue.h"

namespace birchlever::model {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto way_ms = 2.0;  // There and back.
constexpr auto first_gap_ms =
    30.0;  // After a refusal for rate, doubled with each, as the store's client does.
constexpr auto most_doublings = 4;
const auto part_name = std::string{"part"};

/// One wanted change.
struct wanted_change {
  std::size_t daemon_ = 0;
  std::size_t second_ = 0;
  double due_ms_ = 0;
  int caller_tries_ = 0;
  int tries_ = 0;  ///< Of the present caller's try.
  int refusals_ = 0;
  int call_ = 0;  ///< Of its calls; an answer to an earlier one comes too late.
  bool made_ = false;
  bool hot_ = false;          ///< Of the program that all change.
  std::int64_t version_ = 0;  ///< Of that program's row, as its daemon knows it.
  int conflicts_ = 0;         ///< In a row.
};

using change_pointer = std::shared_ptr<wanted_change>;

/// One run.
class hot_part {
 public:
  explicit hot_part(const hot_part_settings& settings) : settings_{settings}, random_{settings.seed_} {
    auto seconds = static_cast<std::size_t>(settings.duration_ms_ / ms_per_second) + 1;
    outcome_.wanted_.resize(seconds);
    outcome_.made_.resize(seconds);
    daemons_.assign(static_cast<std::size_t>(settings.daemons_), adaptive_timeouts{settings.answers_});
  }

  auto run() -> hot_part_outcome {
    schedule();
    events_.after(settings_.burst_at_ms_, [this] {
      for (auto number = 0; number < settings_.burst_; ++number) {
        want_hot();
      }
    });
    events_.run_until(settings_.duration_ms_);
    return outcome_;
  }

 private:
  auto chance() -> double { return std::uniform_real_distribution<double>{0, 1}(random_); }

  auto schedule() -> void {
    auto gap = -std::log(1 - chance()) * ms_per_second / settings_.changes_per_s_;
    events_.after(gap, [this] {
      want();
      schedule();
    });
  }

  auto want() -> void {
    auto wanted = std::make_shared<wanted_change>();
    wanted->second_ = static_cast<std::size_t>(events_.now_ms() / ms_per_second);
    ++outcome_.wanted_[wanted->second_];
    ask(wanted);
  }

  auto want_hot() -> void {
    auto wanted = std::make_shared<wanted_change>();
    wanted->hot_ = true;
    wanted->version_ = version_;
    wanted->daemon_ = static_cast<std::size_t>(chance() * settings_.daemons_);
    wanted->due_ms_ = events_.now_ms() + settings_.burst_patience_ms_;
    wanted->caller_tries_ = settings_.caller_tries_;
    send(wanted);
  }

  auto ask(const change_pointer& wanted) -> void {
    wanted->daemon_ = static_cast<std::size_t>(chance() * settings_.daemons_);
    wanted->due_ms_ = events_.now_ms() + settings_.patience_ms_;
    wanted->tries_ = 0;
    wanted->refusals_ = 0;
    ++wanted->caller_tries_;
    send(wanted);
  }

  auto give_up(const change_pointer& wanted) -> void {
    ++wanted->call_;
    if (wanted->caller_tries_ < settings_.caller_tries_) {
      events_.after(settings_.caller_gap_ms_ * 2 * chance(), [this, wanted] { ask(wanted); });
    }
  }

  auto send(const change_pointer& wanted) -> void {
    auto left = wanted->due_ms_ - events_.now_ms();
    if (left <= 0) {
      give_up(wanted);
      return;
    }
    auto limit = std::min<double>(daemons_[wanted->daemon_].timeout_for(part_name, wanted->tries_), left);
    auto call = ++wanted->call_;
    ++wanted->tries_;
    ++outcome_.sent_;
    auto began_ms = events_.now_ms();
    auto waits_ms = std::max(free_at_ms_ - began_ms, 0.0);
    if (waits_ms > settings_.refuses_beyond_ms_) {
      events_.after(way_ms, [this, wanted] { refused(wanted); });
      return;
    }
    free_at_ms_ = std::max(free_at_ms_, began_ms) + ms_per_second / settings_.part_per_s_;
    auto version = wanted->version_;
    events_.after(free_at_ms_ - began_ms, [this, wanted, call, began_ms, version] {
      auto conflict = wanted->hot_ && version != version_;
      version_ += wanted->hot_ && !conflict ? 1 : 0;
      auto told = version_;
      events_.after(way_ms, [this, wanted, call, began_ms, conflict, told] {
        auto took_ms = events_.now_ms() - began_ms;
        if (conflict) {
          lost(wanted, call, took_ms, told);
        } else {
          answered(wanted, call, took_ms);
        }
      });
    });
    events_.after(limit, [this, wanted, call, limit] { silent(wanted, call, limit); });
  }

  auto answered(const change_pointer& wanted, int call, double took_ms) -> void {
    if (wanted->made_ || wanted->call_ != call) {
      return;
    }
    wanted->made_ = true;
    daemons_[wanted->daemon_].record_response(part_name, static_cast<milliseconds>(took_ms));
    outcome_.made_[wanted->second_] += !wanted->hot_ && wanted->caller_tries_ == 1 ? 1 : 0;
  }

  auto lost(const change_pointer& wanted, int call, double took_ms, std::int64_t told) -> void {
    if (wanted->made_ || wanted->call_ != call) {
      return;
    }
    daemons_[wanted->daemon_].record_response(part_name, static_cast<milliseconds>(took_ms));
    ++wanted->call_;
    wanted->tries_ = 0;
    wanted->version_ = told;
    auto longest =
        max_conflict_backoff(++wanted->conflicts_, static_cast<milliseconds>(took_ms), settings_.conflicts_);
    auto pause = static_cast<double>(longest) * (1 + chance()) / 2;
    events_.after(pause, [this, wanted, longest] {
      wanted->version_ = longest > 0 ? version_ : wanted->version_;  // It is read again after a pause.
      send(wanted);
    });
  }

  auto silent(const change_pointer& wanted, int call, double limit_ms) -> void {
    if (wanted->made_ || wanted->call_ != call) {
      return;
    }
    daemons_[wanted->daemon_].record_timeout(part_name, static_cast<milliseconds>(limit_ms));
    send(wanted);
  }

  auto refused(const change_pointer& wanted) -> void {
    auto doublings = std::min(wanted->refusals_++, most_doublings);
    auto longest = std::ldexp(first_gap_ms, doublings);
    events_.after(longest * (1 + chance()) / 2, [this, wanted] { send(wanted); });
  }

  hot_part_settings settings_;
  event_queue events_;
  std::mt19937_64 random_;
  std::vector<adaptive_timeouts> daemons_;
  double free_at_ms_ = 0;
  std::int64_t version_ = 0;
  hot_part_outcome outcome_;
};

}  // namespace

auto hot_part_outcome::made_between(std::size_t from_s, std::size_t to_s) const -> double {
  auto wanted = 0;
  auto made = 0;
  for (auto second = from_s; second < to_s; ++second) {
    wanted += wanted_.at(second);
    made += made_.at(second);
  }
  return wanted > 0 ? static_cast<double>(made) / wanted : 0;
}

auto play_hot_part(const hot_part_settings& settings) -> hot_part_outcome {
  return hot_part{settings}.run();
}

}  // namespace birchlever::model

/// Guards against overspending of budgets that are drawn in advance when daemons are lost or cut off from
/// their peers or from the store.
#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/coordination/idle_peers.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto turn_limit = std::int64_t{40};
constexpr auto budget = std::int64_t{120};    // Three turns at their token limit.
constexpr auto short_wait = milliseconds{8};  // Keeps the random schedules with store outages fast.
constexpr auto long_wait = milliseconds{500};
constexpr auto max_steps = std::size_t{30};

class daemon_group;

/// Connects one daemon to the others.
class group_peers final : public idle_peers {
 public:
  group_peers(daemon_group& daemons, std::string asker) : group_{&daemons}, asker_{std::move(asker)} {}

  auto request_tokens(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens> override;
  auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> override;

 private:
  daemon_group* group_;
  std::string asker_;
};

/// Daemons that share one store, by name. A lost daemon is replaced by one with a new name and no state.
class daemon_group {
 public:
  explicit daemon_group(int daemons, double draw_ahead = 1.0, milliseconds max_wait = short_wait)
      : rows_{std::make_shared<memory_row_store>(loop_)}, draw_ahead_{draw_ahead}, max_wait_{max_wait} {
    for (auto number = 0; number < daemons; ++number) {
      start_daemon();
    }
  }

  auto start_daemon() -> std::string {
    auto name = "vm@" + std::to_string(started_++);
    auto settings = program_store_settings{};
    settings.daemon_ = name;
    settings.draw_ahead_ = draw_ahead_;
    settings.max_start_wait_ = max_wait_;
    settings.call_limit_ = max_wait_;
    auto store = value(program_store::create(loop_, rows_, settings));
    store->set_budget_peers(std::make_shared<group_peers>(*this, name));
    daemons_[name] = std::move(store);
    return name;
  }

  auto lose(const std::string& name) -> void { daemons_.erase(name); }

  /// Grants the allowance once, while the daemon that may grant it exists and is reachable.
  auto grant_allowance(std::int64_t tokens) -> std::int64_t {
    auto may_give =
        !cut_from_peers_ && daemons_.count("vm@0") != 0 && !std::exchange(allowance_granted_, true);
    return may_give ? tokens : 0;
  }

  auto draw(const std::string& name, const std::string& turn) -> result<std::int64_t> {
    return run_to_end(loop_,
                      daemons_.at(name)->draw_budget({"p", turn, "", budget, turn_limit, ""}, 5 * max_wait_));
  }

  /// Starts turns concurrently. Returns the number of turns that may run.
  auto start_concurrently(const std::string& name, int turns) -> int {
    auto started = 0;
    auto unfinished = turns;
    auto start_turn = [&](std::string turn) -> task<> {
      auto order = turn_request{"p", std::move(turn), "", budget, turn_limit, ""};
      auto drawn = co_await daemons_.at(name)->draw_budget(std::move(order), 5 * max_wait_);
      started += ok(drawn) ? 1 : 0;
      --unfinished;
    };
    for (auto turn = 0; turn < turns; ++turn) {
      start(loop_, "begin", start_turn("together-" + std::to_string(turns_++)));
    }
    REQUIRE(run_loop_until(loop_, [&] { return unfinished == 0; }));
    return started;
  }

  /// Runs a complete turn that generates the given tokens. Returns the tokens delivered; empty if refused.
  auto turn(const std::string& name, std::int64_t tokens) -> std::optional<std::int64_t> {
    auto drawn = draw(name, "t" + std::to_string(turns_++));
    if (!ok(drawn)) {
      last_failure_ = failure(drawn).code_;
      return std::nullopt;
    }
    auto delivered = std::min(tokens, value(drawn));
    daemons_.at(name)->return_tokens("p", value(drawn) - delivered);
    return delivered;
  }

  [[nodiscard]] auto name_of(std::size_t number) const -> std::string {
    return std::next(daemons_.begin(), static_cast<std::ptrdiff_t>(number % daemons_.size()))->first;
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::map<std::string, std::shared_ptr<program_store>> daemons_;
  bool cut_from_peers_ = false;
  bool lose_transferred_ = false;  ///< Responses of peers are lost after they transferred tokens.
  error_code last_failure_ = error_code::internal;

 private:
  bool allowance_granted_ = false;
  double draw_ahead_;
  milliseconds max_wait_;
  int started_ = 0;
  int turns_ = 0;
};

auto group_peers::request_tokens(std::string program_key, std::vector<std::string> holders,
                                 std::int64_t tokens) -> task<transferred_tokens> {
  auto transferred = transferred_tokens{};
  if (holders.empty()) {
    for (const auto& [name, daemon] : group_->daemons_) {
      holders.push_back(name);
    }
  }
  for (const auto& holder : holders) {
    auto found = group_->daemons_.find(holder);
    if (group_->cut_from_peers_ || found == group_->daemons_.end()) {
      transferred.unaccounted_ = true;
    } else if (holder != asker_) {
      auto got = found->second->transfer_tokens(program_key, asker_, tokens);
      transferred.tokens_ += group_->lose_transferred_ ? 0 : got.tokens_;
      transferred.recipients_.insert(transferred.recipients_.end(), got.recipients_.begin(),
                                     got.recipients_.end());
      transferred.unaccounted_ = transferred.unaccounted_ || group_->lose_transferred_;
    }
  }
  co_return transferred;
}

auto group_peers::request_allowance(std::string /*program_key*/, std::int64_t tokens) -> task<std::int64_t> {
  co_return group_->grant_allowance(tokens);
}

}  // namespace

TEST_CASE("turns without stored history cost one commit per program and daemon") {
  auto daemons = daemon_group{1};
  for (auto turn = 0; turn < 4; ++turn) {
    REQUIRE(daemons.turn(daemons.name_of(0), 10));
  }
  CHECK(daemons.rows_->commits() == 1);
}

TEST_CASE("a turn starts during a store outage from tokens drawn earlier") {
  auto daemons = daemon_group{1};
  REQUIRE(daemons.turn(daemons.name_of(0), 10));
  daemons.rows_->faults().down_ = true;
  CHECK(daemons.turn(daemons.name_of(0), 10));
}

TEST_CASE("a turn that moves to another daemon during a store outage uses tokens drawn by peers") {
  auto daemons = daemon_group{2};
  REQUIRE(daemons.turn(daemons.name_of(0), 10));
  daemons.rows_->faults().down_ = true;
  CHECK(daemons.turn(daemons.name_of(1), 10));
}

TEST_CASE("a program that moves between daemons can spend its entire budget and is then refused") {
  auto daemons = daemon_group{3};
  auto delivered = std::int64_t{0};
  auto next = std::size_t{0};
  for (auto turn = daemons.turn(daemons.name_of(next++), 20); turn;
       turn = daemons.turn(daemons.name_of(next++), 20)) {
    delivered += *turn;
  }
  CHECK(delivered > budget - turn_limit);
  CHECK(delivered <= budget);
  CHECK(daemons.last_failure_ == error_code::budget_exhausted);
}

TEST_CASE(
    "a program whose drawn tokens are lost continues and exceeds its budget by at most one turn's limit") {
  auto daemons = daemon_group{2};
  auto delivered = std::int64_t{0};
  for (auto loss = 0; loss < 4; ++loss) {
    auto name = daemons.name_of(0);
    auto spent = daemons.turn(name, 10);
    delivered += spent.value_or(0);
    CHECK((spent.has_value() || loss >= 1));
    daemons.lose(name);
    daemons.start_daemon();
  }
  CHECK(delivered <= budget + turn_limit);
}

TEST_CASE("a program that starts during a store outage gets a single allowance") {
  auto daemons = daemon_group{2};
  daemons.rows_->faults().down_ = true;
  auto delivered = std::int64_t{0};
  for (auto turn = 0; turn < 8; ++turn) {
    delivered += daemons.turn(daemons.name_of(static_cast<std::size_t>(turn)), 12).value_or(0);
  }
  CHECK(delivered <= turn_limit);
  CHECK(delivered >= 36);  // Three turns of 12; the remaining 4 are below the minimum for a turn.
}

TEST_CASE("no turn starts below its token limit while the store responds, also when drawn tokens are lost") {
  auto daemons = daemon_group{2};
  auto lost = daemons.name_of(0);
  REQUIRE(daemons.turn(lost, 10));
  daemons.lose(lost);
  auto left = daemons.name_of(0);
  REQUIRE(daemons.turn(left, 10));  // Draws the last tokens from the store; 30 remain on this daemon.
  auto refused = daemons.draw(left, "short");
  REQUIRE_FALSE(ok(refused));
  CHECK(failure(refused).code_ == error_code::budget_exhausted);
}

TEST_CASE("no turn starts below its token limit while the store is reachable but does not respond") {
  auto daemons = daemon_group{1, 0.0};
  daemons.cut_from_peers_ = true;
  REQUIRE(daemons.turn("vm@0", turn_limit / 2));  // Leaves half of a turn's token limit.
  daemons.rows_->faults().lose_calls_ = 1000;
  REQUIRE(daemons.rows_->reachable());
  CHECK_FALSE(daemons.turn("vm@0", turn_limit));
  CHECK(daemons.last_failure_ == error_code::store_unavailable);
  daemons.rows_->faults().down_ = true;
  CHECK(daemons.turn("vm@0", turn_limit) == turn_limit / 2);  // Allowed in an outage.
}

TEST_CASE("concurrently started turns share one budget") {
  auto daemons = daemon_group{2};
  CHECK(daemons.start_concurrently(daemons.name_of(0), 5) == 3);
  CHECK(daemons.start_concurrently(daemons.name_of(1), 2) == 0);
}

TEST_CASE("a draw whose response is lost is made once") {
  auto daemons = daemon_group{1, 1.0, long_wait};
  daemons.rows_->faults().lose_answers_ = 1;
  REQUIRE(daemons.turn(daemons.name_of(0), 40));
  CHECK(daemons.turn(daemons.name_of(0), 40));
  CHECK(daemons.turn(daemons.name_of(0), 40));
  CHECK_FALSE(daemons.turn(daemons.name_of(0), 40));
}

TEST_CASE(
    "random losses of daemons, peers and the store never exceed a budget by more than one turn's limit") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& steps) {
    auto daemons = daemon_group{3, steps.size() % 2 == 0 ? 1.0 : 0.0};
    auto delivered = std::int64_t{0};
    for (auto index = std::size_t{0}; index < std::min(steps.size(), max_steps); ++index) {
      auto step = steps[index];
      auto name = daemons.name_of(step / 16U);
      switch (step % 16U) {
        case 0:
          daemons.lose(name);
          daemons.start_daemon();
          break;
        case 1:
          daemons.cut_from_peers_ = !daemons.cut_from_peers_;
          break;
        case 2:
          daemons.rows_->faults().down_ = !daemons.rows_->faults().down_;
          break;
        case 3:
          daemons.rows_->faults().lose_answers_ = 1;
          break;
        case 4:
          daemons.rows_->faults().late_commits_ = 1;
          break;
        case 5:
          daemons.lose_transferred_ = !daemons.lose_transferred_;
          break;
        default:
          delivered += daemons.turn(name, step % (turn_limit + 1)).value_or(0);
      }
    }
    RC_ASSERT(delivered <= budget + turn_limit);
  }));
}

}  // namespace birchlever

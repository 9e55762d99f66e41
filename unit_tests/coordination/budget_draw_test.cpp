/// Budgets drawn in advance: daemons that are lost, cut from each other or from the store, and programs that
/// never stop.
#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto most_tokens = std::int64_t{40};
constexpr auto budget = std::int64_t{120};        // Three turns at their most.
constexpr auto short_patience = milliseconds{8};  // Many seeds wait for a store that is away.
constexpr auto long_patience = milliseconds{500};
constexpr auto most_steps = std::size_t{30};

class fleet;

/// One daemon's way to the others.
class fleet_peers final : public budget_peers {
 public:
  fleet_peers(fleet& all, std::string asker) : fleet_{&all}, asker_{std::move(asker)} {}

  auto request_tokens(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<transferred_tokens> override;
  auto request_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> override;
  auto request_lease(std::string /*program_key*/, std::string /*reservation*/, std::string /*holder*/)
      -> task<bool> override {
    co_return false;  // Turns of which nothing is kept hold none.
  }

 private:
  fleet* fleet_;
  std::string asker_;
};

/// Daemons before one store, by name. A daemon that is lost comes back under a new name, remembering nothing.
class fleet {
 public:
  explicit fleet(int daemons, double draw_ahead = 1.0, milliseconds patience = short_patience)
      : rows_{std::make_shared<memory_row_store>(loop_)}, draw_ahead_{draw_ahead}, patience_{patience} {
    for (auto number = 0; number < daemons; ++number) {
      start_daemon();
    }
  }

  auto start_daemon() -> std::string {
    auto name = "vm@" + std::to_string(started_++);
    auto settings = program_store_settings{};
    settings.daemon_ = name;
    settings.draw_ahead_ = draw_ahead_;
    settings.max_start_wait_ = patience_;
    settings.call_limit_ = patience_;
    auto store = value(program_store::create(loop_, rows_, settings));
    store->set_budget_peers(std::make_shared<fleet_peers>(*this, name));
    daemons_[name] = std::move(store);
    return name;
  }

  auto lose(const std::string& name) -> void { daemons_.erase(name); }

  /// One turn's most, once, while the daemon that may give it is there.
  auto give_allowance(std::int64_t tokens) -> std::int64_t {
    auto may_give = !cut_from_peers_ && daemons_.count("vm@0") != 0 && !std::exchange(gave_, true);
    return may_give ? tokens : 0;
  }

  auto draw(const std::string& name, const std::string& turn) -> result<std::int64_t> {
    return run_to_end(
        loop_, daemons_.at(name)->draw_budget({"p", turn, "", budget, most_tokens, ""}, 5 * patience_));
  }

  /// Turns that begin at the same time. Yields how many of them may run.
  auto begin_together(const std::string& name, int turns) -> int {
    auto begun = 0;
    auto open = turns;
    auto begin = [&](std::string turn) -> task<> {
      auto order = turn_request{"p", std::move(turn), "", budget, most_tokens, ""};
      auto drawn = co_await daemons_.at(name)->draw_budget(std::move(order), 5 * patience_);
      begun += ok(drawn) ? 1 : 0;
      --open;
    };
    for (auto turn = 0; turn < turns; ++turn) {
      start(loop_, "begin", begin("together-" + std::to_string(turns_++)));
    }
    REQUIRE(run_loop_until(loop_, [&] { return open == 0; }));
    return begun;
  }

  /// A whole turn that hands out so many tokens. Yields what was handed out; nothing when it was refused.
  auto turn(const std::string& name, std::int64_t tokens) -> std::optional<std::int64_t> {
    auto drawn = draw(name, "t" + std::to_string(turns_++));
    if (!ok(drawn)) {
      last_failure_ = failure(drawn).code_;
      return std::nullopt;
    }
    auto handed = std::min(tokens, value(drawn));
    daemons_.at(name)->return_tokens("p", value(drawn) - handed);
    return handed;
  }

  [[nodiscard]] auto name_of(std::size_t number) const -> std::string {
    return std::next(daemons_.begin(), static_cast<std::ptrdiff_t>(number % daemons_.size()))->first;
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  std::map<std::string, std::shared_ptr<program_store>> daemons_;
  bool cut_from_peers_ = false;
  bool lose_handed_ = false;  ///< Answers of peers are lost after they gave tokens away.
  error_code last_failure_ = error_code::internal;

 private:
  bool gave_ = false;
  double draw_ahead_;
  milliseconds patience_;
  int started_ = 0;
  int turns_ = 0;
};

auto fleet_peers::request_tokens(std::string program_key, std::vector<std::string> holders,
                                 std::int64_t tokens) -> task<transferred_tokens> {
  auto handed = transferred_tokens{};
  if (holders.empty()) {
    for (const auto& [name, daemon] : fleet_->daemons_) {
      holders.push_back(name);
    }
  }
  for (const auto& holder : holders) {
    auto found = fleet_->daemons_.find(holder);
    if (fleet_->cut_from_peers_ || found == fleet_->daemons_.end()) {
      handed.unaccounted_ = true;
    } else if (holder != asker_) {
      auto got = found->second->transfer_tokens(program_key, asker_, tokens);
      handed.tokens_ += fleet_->lose_handed_ ? 0 : got.tokens_;
      handed.recipients_.insert(handed.recipients_.end(), got.recipients_.begin(), got.recipients_.end());
      handed.unaccounted_ = handed.unaccounted_ || fleet_->lose_handed_;
    }
  }
  co_return handed;
}

auto fleet_peers::request_allowance(std::string /*program_key*/, std::int64_t tokens) -> task<std::int64_t> {
  co_return fleet_->give_allowance(tokens);
}

}  // namespace

TEST_CASE("turns of which nothing is kept cost one commit a program at one daemon") {
  auto all = fleet{1};
  for (auto turn = 0; turn < 4; ++turn) {
    REQUIRE(all.turn(all.name_of(0), 10));
  }
  CHECK(all.rows_->commits() == 1);
}

TEST_CASE("a turn whose daemon holds a draw begins while the store is away") {
  auto all = fleet{1};
  REQUIRE(all.turn(all.name_of(0), 10));
  all.rows_->faults().down_ = true;
  CHECK(all.turn(all.name_of(0), 10));
}

TEST_CASE("a turn that moves to another daemon in an outage is paid by what that one's peers drew") {
  auto all = fleet{2};
  REQUIRE(all.turn(all.name_of(0), 10));
  all.rows_->faults().down_ = true;
  CHECK(all.turn(all.name_of(1), 10));
}

TEST_CASE("a program that moves spends its whole budget and is then refused for good") {
  auto all = fleet{3};
  auto handed = std::int64_t{0};
  auto next = std::size_t{0};
  for (auto turn = all.turn(all.name_of(next++), 20); turn; turn = all.turn(all.name_of(next++), 20)) {
    handed += *turn;
  }
  CHECK(handed > budget - most_tokens);
  CHECK(handed <= budget);
  CHECK(all.last_failure_ == error_code::budget_exhausted);
}

TEST_CASE(
    "a program whose daemon is lost with what it drew goes on, within one turn's most beyond its budget") {
  auto all = fleet{2};
  auto handed = std::int64_t{0};
  for (auto loss = 0; loss < 4; ++loss) {
    auto name = all.name_of(0);
    auto spent = all.turn(name, 10);
    handed += spent.value_or(0);
    CHECK((spent.has_value() || loss >= 1));
    all.lose(name);
    all.start_daemon();
  }
  CHECK(handed <= budget + most_tokens);
}

TEST_CASE("a program that begins in an outage of the store gets one turn's most, once") {
  auto all = fleet{2};
  all.rows_->faults().down_ = true;
  auto handed = std::int64_t{0};
  for (auto turn = 0; turn < 8; ++turn) {
    handed += all.turn(all.name_of(static_cast<std::size_t>(turn)), 12).value_or(0);
  }
  CHECK(handed <= most_tokens);
  CHECK(handed >= 36);  // Three turns of 12; the rest of 4 is less than a turn may begin with.
}

TEST_CASE("while the store answers no turn begins with less than its most, also when drawn tokens are lost") {
  auto all = fleet{2};
  auto lost = all.name_of(0);
  REQUIRE(all.turn(lost, 10));
  all.lose(lost);
  auto left = all.name_of(0);
  REQUIRE(all.turn(left, 10));  // Takes the last of the store's tokens; 30 are left here.
  auto refused = all.draw(left, "short");
  REQUIRE_FALSE(ok(refused));
  CHECK(failure(refused).code_ == error_code::budget_exhausted);
}

TEST_CASE(
    "a store that is reached and answers nothing for a while makes no turn begin with less than its most") {
  auto all = fleet{1, 0.0};
  all.cut_from_peers_ = true;
  REQUIRE(all.turn("vm@0", most_tokens / 2));  // Leaves half of a turn's most.
  all.rows_->faults().lose_calls_ = 1000;
  REQUIRE(all.rows_->reachable());
  CHECK_FALSE(all.turn("vm@0", most_tokens));
  CHECK(all.last_failure_ == error_code::store_unavailable);
  all.rows_->faults().down_ = true;
  CHECK(all.turn("vm@0", most_tokens) == most_tokens / 2);  // In an outage it is better than nothing.
}

TEST_CASE("turns that begin at the same time share one budget") {
  auto all = fleet{2};
  CHECK(all.begin_together(all.name_of(0), 5) == 3);
  CHECK(all.begin_together(all.name_of(1), 2) == 0);
}

TEST_CASE("a draw whose answer is lost is made once") {
  auto all = fleet{1, 1.0, long_patience};
  all.rows_->faults().lose_answers_ = 1;
  REQUIRE(all.turn(all.name_of(0), 40));
  CHECK(all.turn(all.name_of(0), 40));
  CHECK(all.turn(all.name_of(0), 40));
  CHECK_FALSE(all.turn(all.name_of(0), 40));
}

TEST_CASE("no way of losing daemons, peers or the store hands out more than a budget and one turn's most") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& steps) {
    auto all = fleet{3, steps.size() % 2 == 0 ? 1.0 : 0.0};
    auto handed = std::int64_t{0};
    for (auto index = std::size_t{0}; index < std::min(steps.size(), most_steps); ++index) {
      auto step = steps[index];
      auto name = all.name_of(step / 16U);
      switch (step % 16U) {
        case 0:
          all.lose(name);
          all.start_daemon();
          break;
        case 1:
          all.cut_from_peers_ = !all.cut_from_peers_;
          break;
        case 2:
          all.rows_->faults().down_ = !all.rows_->faults().down_;
          break;
        case 3:
          all.rows_->faults().lose_answers_ = 1;
          break;
        case 4:
          all.rows_->faults().late_commits_ = 1;
          break;
        case 5:
          all.lose_handed_ = !all.lose_handed_;
          break;
        default:
          handed += all.turn(name, step % (most_tokens + 1)).value_or(0);
      }
    }
    RC_ASSERT(handed <= budget + most_tokens);
  }));
}

}  // namespace birchlever

/// Guards against two daemons granting an allowance to the same program, also across a takeover of its range.
#include "birchlever/coordination/allowance_ranges.h"

#include <catch2/catch.hpp>

#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto lease_duration = milliseconds{150};
constexpr auto program_lifetime = milliseconds{200};
constexpr auto turn_tokens = std::int64_t{40};

struct ranges_fixture {
  auto start_daemon(const std::string& name) -> std::shared_ptr<allowance_ranges> {
    auto settings = allowance_settings{};
    settings.daemon_ = name;
    settings.ranges_ = 2;
    settings.lease_ = lease_duration;
    settings.renewal_threshold_ = lease_duration / 2;
    settings.poll_interval_ = 3'600'000;  // Disables polling in the background; the tests poll explicitly.
    settings.retry_interval_ = settings.poll_interval_;
    settings.call_limit_ = 50;
    auto created = value(allowance_ranges::create(
        loop_, rows_, settings, [](std::string_view) { return true; }, [] { return program_lifetime; }));
    poll(*created);
    return created;
  }

  auto poll(allowance_ranges& daemon) -> bool { return run_to_end(loop_, daemon.poll()); }

  auto release(allowance_ranges& daemon) -> void {
    auto release_ranges = [](allowance_ranges& ranges) -> task<bool> {
      co_await ranges.release();
      co_return true;
    };
    run_to_end(loop_, release_ranges(daemon));
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
};

}  // namespace

TEST_CASE("the holder of a range grants a program one allowance, also during a store outage") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  fixture.rows_->faults().down_ = true;
  CHECK(holder->held_ranges() == 3);
  CHECK(holder->grant("p", turn_tokens) == turn_tokens);
  CHECK(holder->grant("p", turn_tokens) == 0);
  CHECK(holder->grant("q", turn_tokens) == turn_tokens);
}

TEST_CASE("a daemon that does not hold a range grants nothing") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  auto other = fixture.start_daemon("vm-2@1");
  CHECK(other->held_ranges() == 0);
  CHECK(other->grant("p", turn_tokens) == 0);
}

TEST_CASE("a holder that cannot renew its lease stops granting when the lease expires") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  fixture.rows_->faults().down_ = true;
  run_loop_for(fixture.loop_, lease_duration);
  CHECK_FALSE(fixture.poll(*holder));
  CHECK(holder->grant("p", turn_tokens) == 0);
}

TEST_CASE(
    "a successor of a lost holder grants only after the holder's lease and program lifetime have passed") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  REQUIRE(holder->grant("p", turn_tokens) == turn_tokens);
  run_loop_for(fixture.loop_, lease_duration);
  auto successor = fixture.start_daemon("vm-1@2");  // The same VM after a restart.
  CHECK(successor->grant("p", turn_tokens) == 0);
  auto clock = steady_clock{};
  auto started_at = clock.now();
  while (successor->held_ranges() == 0 && clock.now() < started_at + 2 * program_lifetime) {
    run_loop_for(fixture.loop_, lease_duration / 4);
    fixture.poll(*successor);
  }
  CHECK(clock.now() - started_at >= program_lifetime - lease_duration / 2);
  CHECK(successor->grant("p", turn_tokens) == turn_tokens);
}

TEST_CASE("a released range without grants can be used by a successor immediately") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  fixture.release(*holder);
  CHECK(holder->grant("p", turn_tokens) == 0);
  auto successor = fixture.start_daemon("vm-2@1");
  CHECK(successor->grant("p", turn_tokens) == turn_tokens);
}

TEST_CASE("a range with grants is not available to a successor immediately after a release") {
  auto fixture = ranges_fixture{};
  auto holder = fixture.start_daemon("vm-1@1");
  auto range = holder->range_of("p");
  REQUIRE(holder->grant("p", turn_tokens) == turn_tokens);
  fixture.release(*holder);
  auto successor = fixture.start_daemon("vm-2@1");
  CHECK(((successor->held_ranges() >> static_cast<unsigned>(range)) & 1U) == 0);
}

TEST_CASE("a range whose row is malformed is not acquired") {
  auto fixture = ranges_fixture{};
  fixture.rows_->put({"allowances", "", "range-0"}, "malformed");
  auto holder = fixture.start_daemon("vm-1@1");
  CHECK_FALSE(fixture.poll(*holder));
  CHECK(holder->held_ranges() == 0);
}

}  // namespace birchlever

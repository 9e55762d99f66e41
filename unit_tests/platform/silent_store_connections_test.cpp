/// Guards the configuration in force against connections to the store that go silent without being closed,
/// while new ones work.
#include <catch2/catch.hpp>

#include "birchlever/controllers/table_follower.h"
#include "birchlever/storage/memory_row_store.h"
#include "platform/names.h"
#include "platform/store_client.h"
#include "soak/row_store_server.h"
#include "soak/tcp_proxy.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever::platform {
namespace {

// The platform's shortest bounds: config_apply_ms, and contact_ms, for which a daemon without impairment is
// in touch.
constexpr auto apply_bound = milliseconds{2000};
constexpr auto contact = milliseconds{3000};
constexpr auto followers = 8;
constexpr auto phase =
    milliseconds{250};  // Between the starts of followers, so that their polls began at all times.

auto configuration_row() -> row_key {
  return {names::operator_table, "", names::configuration_key};
}

/// One daemon's way to the configuration: its link to the store, its store client and its follower.
struct following_daemon {
  following_daemon(event_loop& loop, const std::string& store) : loop_{&loop} {
    auto at = "127.0.0.1:" + std::to_string(free_port(loop));
    auto link = soak::tcp_proxy::create(loop, at, store);
    REQUIRE(ok(link));
    link_ = value(link);
    auto client_settings = store_client_settings{};
    client_settings.address_ = value(parse_address(at));
    client_ = store_client::create(loop, client_settings);
    auto settings = table_follower_settings{};
    settings.table_ = names::operator_table;
    settings.wait_ = poll_wait_within(apply_bound, client_->feed_poll_grace());
    auto take = [this](const std::vector<stored_row>& rows) {
      for (const auto& row : rows) {
        known_ = row.value_;
        known_at_ = clock_.now();
      }
    };
    auto events = table_follower_events{[] {}, take, [](std::int64_t /*version*/) {}, take, nullptr};
    follower_ = table_follower::create(loop, client_, settings, std::move(events));
  }

  /// Leaves idle connections in the pool of the store client.
  auto use_store(int calls) -> void {
    auto run = [](std::shared_ptr<store_client> client) -> task<> {
      auto range = row_range{"daemons", "", "", ""};
      co_await client->read(range, apply_bound);
    };
    for (auto made = 0; made < calls; ++made) {
      start(*loop_, "use_store", run(client_));
    }
  }

  event_loop* loop_;
  steady_clock clock_;
  std::shared_ptr<soak::tcp_proxy> link_;
  std::shared_ptr<store_client> client_;
  std::shared_ptr<table_follower> follower_;
  std::string known_;
  milliseconds known_at_ = 0;
};

/// Daemons whose polls began at different times, before one store.
struct silent_store_fixture {
  silent_store_fixture() {
    rows_->put(configuration_row(), "first");
    auto at = "127.0.0.1:" + std::to_string(free_port(loop_));
    auto server = soak::row_store_server::create(loop_, at, rows_);
    REQUIRE(ok(server));
    server_ = std::move(value(server));
    for (auto made = 0; made < followers; ++made) {
      daemons_.push_back(std::make_unique<following_daemon>(loop_, at));
      run_loop_for(loop_, phase);
    }
    REQUIRE(run_loop_until(loop_, [this] { return all_know("first"); }));
  }

  auto silence_all() -> void {
    for (auto& daemon : daemons_) {
      daemon->use_store(6);
    }
    run_loop_for(loop_, 100);
    for (auto& daemon : daemons_) {
      daemon->link_->silence_open();
    }
  }

  [[nodiscard]] auto all_know(const std::string& text) const -> bool {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [&](const auto& daemon) { return daemon->known_ == text; });
  }

  /// Returns the longest time in ms from `changed_at` until a daemon knew the latest change.
  [[nodiscard]] auto longest_delay(milliseconds changed_at) const -> milliseconds {
    auto longest = milliseconds{0};
    for (const auto& daemon : daemons_) {
      longest = std::max(longest, daemon->known_at_ - changed_at);
    }
    return longest;
  }

  event_loop loop_{1};
  steady_clock clock_;
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::unique_ptr<soak::row_store_server> server_;
  std::vector<std::unique_ptr<following_daemon>> daemons_;
};

}  // namespace

/// Failure: polls are held so long that a silent connection is noticed only after the bound.
TEST_CASE("the wait of a poll leaves time to repeat it within the bound, within limits") {
  constexpr auto grace = milliseconds{700};
  const auto longest = table_follower_settings{}.wait_;
  CHECK(poll_wait_within(apply_bound, grace) + grace < apply_bound);
  CHECK(poll_wait_within(3000, grace) + grace < 3000);
  CHECK(poll_wait_within(0, grace) == longest);
  CHECK(poll_wait_within(60000, grace) == longest);
  CHECK(poll_wait_within(1, grace) > 0);
}

/// Failure: a daemon in touch for 3 s again refuses requests as an older configuration says, 2 s after the
/// change.
TEST_CASE("a configuration is known in time although the open connections to the store went silent") {
  auto fixture = silent_store_fixture{};
  fixture.silence_all();
  run_loop_for(fixture.loop_, contact - apply_bound);
  auto changed_at = fixture.clock_.now();
  fixture.rows_->put(configuration_row(), "second");
  REQUIRE(run_loop_until(
      fixture.loop_, [&] { return fixture.all_know("second"); }, 15000));
  CHECK(fixture.longest_delay(changed_at) <= apply_bound);
}

}  // namespace birchlever::platform

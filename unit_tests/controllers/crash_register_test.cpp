/// The crash history that daemons share through the store and messages.
#include <catch2/catch.hpp>

#include "birchlever/controllers/crash_register.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto work = "0123456789abcdef0123456789abcdef";

/// Daemons that share a store. Messages between them are delivered on request.
class register_fleet {
 public:
  register_fleet() : rows_{std::make_shared<memory_row_store>(loop_)} {}

  auto add_daemon(const crash_history_settings& history = {}, bool owns = false)
      -> std::shared_ptr<crash_register> {
    auto settings = crash_register_settings{};
    settings.history_ = history;
    settings.sweep_interval_ = 20;
    settings.repair_after_ = repair_after_;
    settings.repair_by_any_after_ = 2 * repair_after_;
    settings.retry_interval_ = 20;
    settings.max_rows_ = max_rows_;
    auto owner = [owns](const std::string& /*fingerprint*/) { return owns; };
    auto added = crash_register::create(loop_, rows_, settings, owner);
    REQUIRE(run_loop_until(loop_, [&] { return added->primed() || rows_->faults().down_; }));
    return added;
  }

  auto record(crash_register& daemon, const send_record& record) -> bool {
    return run_to_end(loop_, daemon.record(record));
  }

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_;
  milliseconds repair_after_ = 50;
  std::size_t max_rows_ = 1000;
};

}  // namespace

// Guards against a daemon that learns of crashes only from those that saw them.
TEST_CASE("a recorded crash is known to all daemons, also to later ones") {
  auto fleet = register_fleet{};
  auto first = fleet.add_daemon();
  auto second = fleet.add_daemon();
  REQUIRE(fleet.record(*first, {work, "u1", send_state::crashed}));
  REQUIRE(second->history().crashes(work) == 1);
  REQUIRE(fleet.add_daemon()->history().crashes(work) == 1);
}

// Guards against crashes that are forgotten when the daemon that saw them ends before the store has them.
TEST_CASE("a crash known from a peer is written by another daemon when the store returns") {
  auto fleet = register_fleet{};
  auto peer = fleet.add_daemon();
  fleet.rows_->faults().down_ = true;
  peer->apply_peer_record({work, "u1", send_state::crashed});
  auto commits = fleet.rows_->commits();
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->commits() > commits; }));
  fleet.rows_->faults().down_ = false;
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->size() == 1; }));
  REQUIRE(fleet.add_daemon()->history().crashes(work) == 1);
}

// Guards against open sends that live daemons know, but not those that start after the store was away.
TEST_CASE("an open send known from a peer is written by another daemon when the store returns") {
  auto fleet = register_fleet{};
  auto peer = fleet.add_daemon();
  fleet.rows_->faults().down_ = true;
  peer->apply_peer_record({work, "u1", send_state::open});
  auto commits = fleet.rows_->commits();
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->commits() > commits; }));
  fleet.rows_->faults().down_ = false;
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->size() == 1; }));
  auto late = fleet.add_daemon();
  REQUIRE(late->history().crashes(work) == 1);
}

// Guards against open sends that stay counted because another daemon wrote them after they were settled.
TEST_CASE("an open send written for a peer is removed when the peer settles it") {
  auto ended = GENERATE(send_state::settled, send_state::served);
  auto fleet = register_fleet{};
  auto peer = fleet.add_daemon();
  peer->apply_peer_record({work, "u1", send_state::open});
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->size() == 1; }));
  peer->apply_peer_record({work, ended == send_state::settled ? "u1" : "", ended});
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->size() == 0; }));
  REQUIRE(peer->history().crashes(work) == 0);
}

// Guards against a daemon that starts and learns nothing of what only its peers know.
TEST_CASE("a daemon tells what it knows, records of work near its limit first") {
  auto fleet = register_fleet{};
  auto daemon = fleet.add_daemon();
  for (auto number = 0; number < 600; ++number) {
    daemon->apply_peer_record({"w" + std::to_string(number), "u1", send_state::open});
  }
  daemon->apply_peer_record({work, "u1", send_state::crashed});
  daemon->apply_peer_record({work, "u2", send_state::open});
  auto records = daemon->known_records();
  REQUIRE(records.size() == crash_register_settings{}.max_introduced_);
  REQUIRE(records.at(0).fingerprint_ == work);
  REQUIRE(records.at(1).fingerprint_ == work);
}

// Guards against a daemon that starts between two sends and learns of the second one only.
TEST_CASE("the record of a send brings the crashes of its work that the store misses") {
  auto fleet = register_fleet{};
  fleet.repair_after_ = 60'000;
  auto daemon = fleet.add_daemon();
  daemon->apply_peer_record({work, "u1", send_state::crashed});
  REQUIRE(fleet.record(*daemon, {work, "u2", send_state::open}));
  REQUIRE(fleet.rows_->size() == 2);
  REQUIRE(fleet.add_daemon()->history().crashes(work) == 2);
}

// Guards against rows and memory of work that was served in the end.
TEST_CASE("records of served work are removed everywhere") {
  auto fleet = register_fleet{};
  auto history = crash_history_settings{};
  history.max_served_age_ = 100;
  auto first = fleet.add_daemon(history, true);
  auto second = fleet.add_daemon();
  REQUIRE(fleet.record(*first, {work, "u1", send_state::crashed}));
  REQUIRE(fleet.record(*first, {work, "u2", send_state::open}));
  first->conclude_served(work);
  REQUIRE(first->history().crashes(work) == 1);
  REQUIRE(run_loop_until(fleet.loop_, [&] { return second->history().size() == 0; }));
  run_loop_for(fleet.loop_, 300);
  REQUIRE(fleet.rows_->size() == 0);
  REQUIRE(first->history().size() == 0);
}

// Guards against rejecting content that was served: its records end at once.
TEST_CASE("records of served content are removed everywhere at once") {
  auto fleet = register_fleet{};
  auto first = fleet.add_daemon();
  auto second = fleet.add_daemon();
  auto content = std::string{content_prefix} + work;
  REQUIRE(fleet.record(*first, {content, "u1", send_state::crashed}));
  REQUIRE(fleet.record(*first, {content, "u2", send_state::open}));
  first->conclude_served(content);
  REQUIRE(first->history().size() == 0);
  REQUIRE(run_loop_until(fleet.loop_, [&] { return second->history().size() == 0; }));
  REQUIRE(fleet.rows_->size() == 0);
}

// Guards against rows that stay for ever because no daemon remembers their work any more.
TEST_CASE("expired rows are removed although their work was evicted from memory") {
  auto fleet = register_fleet{};
  auto history = crash_history_settings{};
  history.max_works_ = 1;
  history.max_age_ = 100;
  auto daemon = fleet.add_daemon(history, true);
  REQUIRE(fleet.record(*daemon, {work, "u1", send_state::crashed}));
  REQUIRE(fleet.record(*daemon, {"another work", "u1", send_state::crashed}));
  REQUIRE(daemon->history().crashes(work) == 0);
  REQUIRE(run_loop_until(fleet.loop_, [&] { return fleet.rows_->size() == 0; }));
  REQUIRE(run_loop_until(fleet.loop_, [&] { return daemon->stored_rows() == 0; }));
}

// Guards against a table that grows with the traffic while upstreams end all the time.
TEST_CASE("no rows are added to a full table") {
  auto fleet = register_fleet{};
  fleet.max_rows_ = 2;
  auto daemon = fleet.add_daemon();
  for (const auto* other : {"a", "b", "c", "d"}) {
    auto room = fleet.rows_->size() < 2;
    REQUIRE(fleet.record(*daemon, {other, "u1", send_state::crashed}) == room);
    REQUIRE(run_loop_until(fleet.loop_, [&] { return daemon->stored_rows() == fleet.rows_->size(); }));
    REQUIRE(daemon->history().crashes(other) == 1);
  }
  REQUIRE(fleet.rows_->size() == 2);
}

// Guards against a record that is lost because the store's answer to its write is.
TEST_CASE("a record is written again until the store acknowledges it") {
  auto fleet = register_fleet{};
  auto daemon = fleet.add_daemon();
  fleet.rows_->faults().lose_calls_ = 2;
  REQUIRE(fleet.record(*daemon, {work, "u1", send_state::crashed}));
  REQUIRE(fleet.rows_->size() == 1);
}

}  // namespace birchlever

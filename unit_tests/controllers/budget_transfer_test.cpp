/// Guards the transfer of drawn budget tokens and allowances between daemons.
#include "birchlever/controllers/budget_transfer.h"

#include <catch2/catch.hpp>

#include "birchlever/coordination/allowance_ranges.h"
#include "birchlever/coordination/program_store.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto max_wait = milliseconds{500};

/// A daemon that drew a budget of 400 for turns of at most 40, and one that requests tokens from it.
struct transfer_fixture {
  transfer_fixture() {
    auto store_settings = program_store_settings{};
    store_settings.daemon_ = "vm-1@7";
    store_settings.draw_ahead_ = 1.0;
    holder_ = value(program_store::create(loop_, rows_, store_settings));
    auto drawn = run_to_end(loop_, holder_->draw_budget({"p", "t1", "", 400, 40, ""}, max_wait));
    REQUIRE(ok(drawn));
    auto settings = budget_transfer_settings{};
    settings.daemon_ = "vm-1@7";
    holder_endpoint_ =
        budget_transfer::create(loop_, settings, [] { return std::map<std::string, std::string>{}; });
    auto handle = [this](const http_request& request) -> task<http_response> {
      co_return holder_endpoint_->answer(*holder_, request);
    };
    address_ = "127.0.0.1:" + std::to_string(free_port(loop_));
    listener_ = value(http_listener::create(loop_, address_, serve_pages(handle)));
    settings.daemon_ = "vm-2@9";
    requester_ = budget_transfer::create(loop_, settings, [this] {
      return std::map<std::string, std::string>{{"vm-1", address_}};
    });
  }

  ~transfer_fixture() {
    listener_->stop();
    run_loop_for(loop_, 20);
  }

  auto ask(std::vector<std::string> holders, std::int64_t tokens) -> transferred_tokens {
    return run_to_end(loop_, requester_->request_tokens("p", std::move(holders), tokens));
  }

  event_loop loop_{1};
  std::string address_;  ///< Of the holder's HTTP endpoint.
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  std::shared_ptr<program_store> holder_;
  std::shared_ptr<budget_transfer> holder_endpoint_;
  std::shared_ptr<budget_transfer> requester_;
  std::shared_ptr<http_listener> listener_;
};

auto status_of(const transfer_fixture& fixture, const std::string& target) -> unsigned {
  auto request = http_request{http::verb::post, target, 11};
  return fixture.holder_endpoint_->answer(*fixture.holder_, request).result_int();
}

}  // namespace

TEST_CASE("a holder transfers the requested tokens and names the recipient to later requesters") {
  auto fixture = transfer_fixture{};
  auto first = fixture.ask({"vm-1@7"}, 300);
  CHECK(first.tokens_ == 300);
  CHECK_FALSE(first.unaccounted_);
  auto second = fixture.ask({"vm-1@7"}, 300);
  CHECK(second.tokens_ == 20);  // 360 were drawn ahead, 40 of them for the turn in progress.
  CHECK(second.recipients_ == std::vector<std::string>{"vm-2@9"});
}

TEST_CASE("a holder that restarted or is not listed leaves tokens unaccounted") {
  auto fixture = transfer_fixture{};
  CHECK(fixture.ask({"vm-1@6"}, 40).unaccounted_);
  CHECK(fixture.ask({"vm-3@1"}, 40).unaccounted_);
  CHECK(fixture.ask({}, 40).tokens_ > 0);
}

TEST_CASE("a program exceeds its budget once, through the daemon that holds its allowance range") {
  auto fixture = transfer_fixture{};
  auto settings = allowance_settings{};
  settings.daemon_ = "vm-1@7";
  settings.poll_interval_ = 3'600'000;
  auto always = [](std::string_view) { return true; };
  auto minute = [] { return milliseconds{60000}; };
  auto holder_ranges =
      value(allowance_ranges::create(fixture.loop_, fixture.rows_, settings, always, minute));
  REQUIRE(run_to_end(fixture.loop_, holder_ranges->poll()));
  auto no_holder = [](int) { return std::optional<std::string>{}; };
  fixture.holder_endpoint_->set_allowances(holder_ranges, no_holder);
  settings.daemon_ = "vm-2@9";
  auto no_ranges = value(allowance_ranges::create(fixture.loop_, fixture.rows_, settings, always, minute));
  fixture.requester_->set_allowances(no_ranges, [&](int) { return std::optional{fixture.address_}; });
  CHECK(run_to_end(fixture.loop_, fixture.requester_->request_allowance("p", 40)) == 40);
  CHECK(run_to_end(fixture.loop_, fixture.requester_->request_allowance("p", 40)) == 0);
  CHECK(run_to_end(fixture.loop_, fixture.holder_endpoint_->request_allowance("p", 40)) == 0);
  fixture.requester_->set_allowances(no_ranges, no_holder);
  CHECK(run_to_end(fixture.loop_, fixture.requester_->request_allowance("q", 40)) == 0);
}

TEST_CASE("a malformed request for tokens is rejected") {
  auto fixture = transfer_fixture{};
  CHECK(status_of(fixture, "/budget/p/forty/vm-2@9/") == 400);
  CHECK(status_of(fixture, "/budget/p/40") == 400);
  CHECK(status_of(fixture, "/budget/") == 400);
  CHECK(status_of(fixture, "/allowance/p") == 400);
}

/// Failure: a use of a lease is taken as recorded although its witness does not know of it.
TEST_CASE("a use of a lease is recorded by its witness, unless the lease was revoked", "[lease_use]") {
  auto fixture = transfer_fixture{};
  auto record = [&](const std::string& lease, const std::string& witness) {
    return run_to_end(fixture.loop_, fixture.requester_->record_lease_use(lease, witness, 1000));
  };
  auto revoke = [&](const std::string& lease, const std::string& witness) {
    return run_to_end(fixture.loop_, fixture.requester_->revoke_lease(lease, witness, 1000)).state_;
  };
  CHECK(record("t1+vm-2@9", "vm-1@7"));
  CHECK(revoke("t1+vm-2@9", "vm-1@7") == lease_state::in_use);
  CHECK(revoke("t2+vm-2@9", "vm-1@7") == lease_state::unused);
  CHECK_FALSE(record("t2+vm-2@9", "vm-1@7"));
  CHECK_FALSE(record("t3+vm-2@9", "vm-1@6"));  // An earlier incarnation, which may have known of other uses.
  CHECK(revoke("t3+vm-2@9", "vm-1@6") == lease_state::lost);
  CHECK(revoke("t3+vm-2@8", "vm-2@8") == lease_state::lost);  // An earlier incarnation of the asking daemon.
  CHECK(revoke("t3+vm-2@9", "vm-3@1") == lease_state::unresolved);
}

/// Failure: an inquiry is answered by another incarnation than the one that may use the lease.
TEST_CASE("a daemon tells whether it uses a lease, and to which daemon it transferred it", "[lease_use]") {
  auto fixture = transfer_fixture{};
  auto order = turn_request{"p", "t1", "", 400, 40, "in"};
  auto granted = run_to_end(fixture.loop_, fixture.holder_->begin_turn(order, max_wait));
  REQUIRE(ok(granted));
  auto ended = turn_completion{"p", "t1", value(granted).reservation_, 4, 4, 400, 0, std::nullopt};
  ended.record_ = turn_record{"", "in", "out", "engine-1"};
  REQUIRE(ok(run_to_end(fixture.loop_, fixture.holder_->end_turn(std::move(ended), max_wait))));
  auto inquire = [&](const std::string& lease, const std::string& daemon) {
    return run_to_end(fixture.loop_, fixture.requester_->inquire_lease("p", lease, daemon, 1000));
  };
  CHECK(run_to_end(fixture.loop_, fixture.requester_->request_lease("p", "t1+vm-1@7", "vm-1@7")));
  CHECK(inquire("t1+vm-1@7", "vm-1@7").state_ == lease_state::transferred);
  CHECK(inquire("t1+vm-1@7", "vm-1@7").recipient_ == "vm-2@9");
  CHECK(inquire("t2+vm-1@7", "vm-1@7").state_ == lease_state::unused);
  CHECK(inquire("t2+vm-1@6", "vm-1@6").state_ == lease_state::lost);
  CHECK(inquire("t2+vm-2@8", "vm-2@8").state_ == lease_state::lost);
  CHECK(inquire("t2+vm-3@1", "vm-3@1").state_ == lease_state::unresolved);
}

/// Failure: a malformed request about a lease changes what is remembered of it.
TEST_CASE("a malformed request about a lease is rejected", "[lease_use]") {
  auto fixture = transfer_fixture{};
  CHECK(status_of(fixture, "/lease_use/t1/soon/vm-1@7") == 400);
  CHECK(status_of(fixture, "/lease_use/t1/99999999999/vm-1@7") == 400);
  CHECK(status_of(fixture, "/lease_revocation/t1") == 400);
  CHECK(status_of(fixture, "/lease_inquiry/t1/1000/vm-1@7") == 400);
  CHECK(status_of(fixture, "/lease/p/t1") == 400);
  CHECK(status_of(fixture, "/lease/p/t1/vm-1@7") == 410);  // As sent by earlier versions.
}

}  // namespace birchlever

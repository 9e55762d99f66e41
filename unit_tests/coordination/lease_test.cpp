#include "birchlever/coordination/lease.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "birchlever/storage/memory_table_store.h"
#include "unit_tests/coordination/store_mock.h"

namespace birchlever {
namespace {

struct two_owners {
  std::shared_ptr<memory_table_store> store_ = std::make_shared<memory_table_store>();
  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  lease first_ = value(lease::create({}, 3, "vm-1/a", "127.0.0.1:1", store_, clock_));
  lease second_ = value(lease::create({}, 3, "vm-2/b", "127.0.0.2:1", store_, clock_));

  auto observe_row(lease& observer) -> void { observer.observe(value(store_->read(lease::row_key(3)))); }
};

}  // namespace

TEST_CASE("only one process acquires a lease, and it can renew it") {
  auto owners = two_owners{};
  owners.observe_row(owners.first_);
  owners.observe_row(owners.second_);
  REQUIRE(ok(owners.first_.acquire()));
  auto lost = owners.second_.acquire();
  REQUIRE(!ok(lost));
  CHECK(failure(lost).code_ == error_code::store_conflict);
  owners.clock_->advance(3000);
  CHECK(owners.first_.renewal_due());
  CHECK(ok(owners.first_.renew()));
  owners.clock_->advance(4900);
  CHECK(owners.first_.held());
  owners.clock_->advance(200);
  CHECK(!owners.first_.held());
}

TEST_CASE("a successor waits for the lease and its margin, and the previous holder stops earlier") {
  auto owners = two_owners{};
  owners.observe_row(owners.first_);
  REQUIRE(ok(owners.first_.acquire()));
  owners.observe_row(owners.second_);
  owners.clock_->advance(6999);
  CHECK(!owners.second_.can_acquire(0));
  CHECK(!owners.first_.held());
  owners.clock_->advance(1);
  CHECK(owners.second_.can_acquire(0));
  CHECK(!owners.second_.can_acquire(1));
  REQUIRE(ok(owners.second_.acquire()));
  CHECK(owners.second_.epoch() == 2);
  auto renewed = owners.first_.renew();
  REQUIRE(!ok(renewed));
  CHECK(failure(renewed).code_ == error_code::lease_lost);
}

TEST_CASE("a released lease can be acquired by its successor immediately") {
  auto owners = two_owners{};
  owners.observe_row(owners.first_);
  REQUIRE(ok(owners.first_.acquire()));
  REQUIRE(ok(owners.first_.release("vm-2")));
  owners.observe_row(owners.second_);
  CHECK(owners.second_.can_acquire(5));
  CHECK(ok(owners.second_.acquire()));
  CHECK(!owners.first_.held());
}

TEST_CASE("a lost response to an acquisition is resolved by its write id") {
  auto store = std::make_shared<store_mock>();
  auto clock = std::make_shared<manual_clock>();
  auto acquirer = value(lease::create({}, 0, "vm-1/a", "127.0.0.1:1", store, clock));
  acquirer.observe(std::nullopt);
  auto write_id = std::string{};
  REQUIRE_CALL(*store, commit(trompeloeil::_))
      .LR_SIDE_EFFECT(write_id = _1.write_id_)
      .RETURN(error{error_code::store_unknown, "lost"});
  REQUIRE_CALL(*store, read(lease::row_key(0)))
      .LR_RETURN(std::optional<table_row>{table_row{lease::row_key(0), "", 7, write_id}});
  CHECK(ok(acquirer.acquire()));
  CHECK(acquirer.held());
  CHECK(acquirer.fence_version() == 7);
}

TEST_CASE("unsafe lease settings are rejected") {
  auto settings = lease_settings{};
  settings.duration_ = settings.margin_ + settings.renew_interval_;
  auto created = lease::create(settings, 0, "a", "", nullptr, nullptr);
  REQUIRE(!ok(created));
  CHECK(failure(created).code_ == error_code::invalid_setting);
}

}  // namespace birchlever

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

  auto look(lease& observer) -> void { observer.observe(value(store_->read(lease::row_key(3)))); }
};

}  // namespace

TEST_CASE("a lease is taken by one and renewed") {
  auto both = two_owners{};
  both.look(both.first_);
  both.look(both.second_);
  REQUIRE(ok(both.first_.acquire()));
  auto lost = both.second_.acquire();
  REQUIRE(!ok(lost));
  CHECK(failure(lost).code_ == error_code::store_conflict);
  both.clock_->advance(3000);
  CHECK(both.first_.renewal_due());
  CHECK(ok(both.first_.renew()));
  both.clock_->advance(4900);
  CHECK(both.first_.held());
  both.clock_->advance(200);
  CHECK(!both.first_.held());
}

TEST_CASE("a successor waits out the lease and its margin, and the old holder stops before") {
  auto both = two_owners{};
  both.look(both.first_);
  REQUIRE(ok(both.first_.acquire()));
  both.look(both.second_);
  both.clock_->advance(6999);
  CHECK(!both.second_.can_acquire(0));
  CHECK(!both.first_.held());
  both.clock_->advance(1);
  CHECK(both.second_.can_acquire(0));
  CHECK(!both.second_.can_acquire(1));
  REQUIRE(ok(both.second_.acquire()));
  CHECK(both.second_.epoch() == 2);
  auto renewed = both.first_.renew();
  REQUIRE(!ok(renewed));
  CHECK(failure(renewed).code_ == error_code::lease_lost);
}

TEST_CASE("a released lease goes to its successor at once") {
  auto both = two_owners{};
  both.look(both.first_);
  REQUIRE(ok(both.first_.acquire()));
  REQUIRE(ok(both.first_.release("vm-2")));
  both.look(both.second_);
  CHECK(both.second_.can_acquire(5));
  CHECK(ok(both.second_.acquire()));
  CHECK(!both.first_.held());
}

TEST_CASE("a lost answer to an acquisition is resolved by its write id") {
  auto store = std::make_shared<store_mock>();
  auto clock = std::make_shared<manual_clock>();
  auto mine = value(lease::create({}, 0, "vm-1/a", "127.0.0.1:1", store, clock));
  mine.observe(std::nullopt);
  auto write_id = std::string{};
  REQUIRE_CALL(*store, commit(trompeloeil::_))
      .LR_SIDE_EFFECT(write_id = _1.write_id_)
      .RETURN(error{error_code::store_unknown, "lost"});
  REQUIRE_CALL(*store, read(lease::row_key(0)))
      .LR_RETURN(std::optional<table_row>{table_row{lease::row_key(0), "", 7, write_id}});
  CHECK(ok(mine.acquire()));
  CHECK(mine.held());
  CHECK(mine.fence_version() == 7);
}

TEST_CASE("lease settings that cannot be safe are refused") {
  auto settings = lease_settings{};
  settings.duration_ = settings.margin_ + settings.renew_every_;
  auto made = lease::create(settings, 0, "a", "", nullptr, nullptr);
  REQUIRE(!ok(made));
  CHECK(failure(made).code_ == error_code::invalid_setting);
}

}  // namespace birchlever

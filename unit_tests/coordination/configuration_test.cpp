#include <catch2/catch.hpp>

#include "birchlever/accounts/key_digest.h"
#include "birchlever/coordination/fleet_configuration.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/storage/memory_table_store.h"

namespace birchlever {
namespace {

struct two_views {
  std::shared_ptr<memory_table_store> store_ = std::make_shared<memory_table_store>();
  std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
  std::shared_ptr<versioned_configuration> left_ =
      value(versioned_configuration::create(store_, clock_, 5000));
  std::shared_ptr<versioned_configuration> right_ =
      value(versioned_configuration::create(store_, clock_, 5000));

  auto look(versioned_configuration& view) -> bool {
    return view.observe(value(store_->read(versioned_configuration::row_key())), clock_->now());
  }
};

}  // namespace

TEST_CASE("of two changes against one generation the second hears who was first") {
  auto both = two_views{};
  both.look(*both.left_);
  both.look(*both.right_);
  REQUIRE(ok(both.left_->propose(0, "a", "left")));
  auto late = both.right_->propose(0, "b", "right");
  REQUIRE(!ok(late));
  CHECK(failure(late).code_ == error_code::configuration_conflict);
  CHECK(failure(late).detail_.find("left") != std::string::npos);
  CHECK(both.right_->current().text_ == "a");
}

TEST_CASE("a lower generation is never applied") {
  auto both = two_views{};
  both.look(*both.left_);
  auto old_row = value(both.store_->read(versioned_configuration::row_key()));
  REQUIRE(ok(both.left_->propose(0, "a", "x")));
  auto first = value(both.store_->read(versioned_configuration::row_key()));
  REQUIRE(ok(both.left_->propose(1, "b", "x")));
  CHECK(!both.left_->observe(first, both.clock_->now()));
  CHECK(!both.left_->observe(old_row, both.clock_->now()));
  CHECK(both.left_->generation() == 2);
}

TEST_CASE(
    "a view that heard of a generation whose document it cannot read is not fresh, and then catches up") {
  auto both = two_views{};
  both.look(*both.left_);
  both.look(*both.right_);
  REQUIRE(ok(both.left_->propose(0, "a", "x")));
  auto row = value(both.store_->read(versioned_configuration::row_key()));
  CHECK(row->value_.find("\"text\"") == std::string::npos);
  auto document = value(both.store_->read("generation/1"));
  REQUIRE(ok(both.store_->commit({"hide", {}, {}, {"generation/1"}})));
  CHECK(!both.look(*both.right_));
  CHECK(!both.right_->is_up_to_date());
  REQUIRE(ok(both.store_->commit({"show", {}, {{"generation/1", document->value_}}, {}})));
  CHECK(both.look(*both.right_));
  CHECK(both.right_->is_up_to_date());
  CHECK(both.right_->current().text_ == "a");
}

TEST_CASE("a view is fresh within its bound, and not while a higher generation was heard of") {
  auto both = two_views{};
  CHECK(!both.left_->is_up_to_date());
  both.look(*both.left_);
  CHECK(both.left_->is_up_to_date());
  CHECK(both.left_->record_seen(4));
  CHECK(!both.left_->is_up_to_date());
  both.clock_->advance(5001);
  CHECK(!both.right_->is_up_to_date());
}

TEST_CASE("the split of policies is sticky and follows the shares") {
  auto configuration = fleet_configuration{};
  configuration.policies_["a"] = {{policy_kind::round_robin, {}}, policy_state::loaded, 3};
  configuration.policies_["b"] = {{policy_kind::least_loaded, {}}, policy_state::loaded, 1};
  configuration.policies_["c"] = {{policy_kind::least_loaded, {}}, policy_state::shadow, 9};
  auto to_a = 0;
  for (auto program = 0; program < 1000; ++program) {
    auto name = configuration.policy_for("notary", std::to_string(program));
    CHECK(name == configuration.policy_for("notary", std::to_string(program)));
    to_a += name == "a" ? 1 : 0;
  }
  CHECK(to_a > 700);
  CHECK(to_a < 800);
}

TEST_CASE("a configuration survives being written and read, and others are refused") {
  auto configuration = fleet_configuration{};
  configuration.accounts_["notary"] = {"notary", {sha256_of("key")}, std::nullopt, {}, 7};
  configuration.drained_halls_ = {"canelones"};
  configuration.pinned_shards_[4] = "daemon-2";
  auto parsed = fleet_configuration::parse(configuration.to_text());
  REQUIRE(ok(parsed));
  CHECK(value(parsed).to_text() == configuration.to_text());
  CHECK(value(parsed).account_of("key") == "notary");
  CHECK(value(parsed).account_of("other").empty());
  CHECK(!ok(fleet_configuration::parse("{\"accounts\":3}")));
}

}  // namespace birchlever

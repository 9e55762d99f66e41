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

  auto poll(versioned_configuration& view) -> bool {
    return view.observe(value(store_->read(versioned_configuration::row_key())), clock_->now());
  }
};

}  // namespace

TEST_CASE("the second of two changes against one generation fails and names the author of the first") {
  auto views = two_views{};
  views.poll(*views.left_);
  views.poll(*views.right_);
  REQUIRE(ok(views.left_->propose(0, "a", "left")));
  auto conflicting = views.right_->propose(0, "b", "right");
  REQUIRE(!ok(conflicting));
  CHECK(failure(conflicting).code_ == error_code::configuration_conflict);
  CHECK(failure(conflicting).detail_.find("left") != std::string::npos);
  CHECK(views.right_->current().text_ == "a");
}

TEST_CASE("a lower generation is never applied") {
  auto views = two_views{};
  views.poll(*views.left_);
  auto old_row = value(views.store_->read(versioned_configuration::row_key()));
  REQUIRE(ok(views.left_->propose(0, "a", "x")));
  auto first = value(views.store_->read(versioned_configuration::row_key()));
  REQUIRE(ok(views.left_->propose(1, "b", "x")));
  CHECK(!views.left_->observe(first, views.clock_->now()));
  CHECK(!views.left_->observe(old_row, views.clock_->now()));
  CHECK(views.left_->generation() == 2);
}

TEST_CASE("a view is not up to date while it cannot read the newest document, and recovers afterwards") {
  auto views = two_views{};
  views.poll(*views.left_);
  views.poll(*views.right_);
  REQUIRE(ok(views.left_->propose(0, "a", "x")));
  auto row = value(views.store_->read(versioned_configuration::row_key()));
  CHECK(row->value_.find("\"text\"") == std::string::npos);
  auto document = value(views.store_->read("generation/1"));
  REQUIRE(ok(views.store_->commit({"hide", {}, {}, {"generation/1"}})));
  CHECK(!views.poll(*views.right_));
  CHECK(!views.right_->is_up_to_date());
  REQUIRE(ok(views.store_->commit({"show", {}, {{"generation/1", document->value_}}, {}})));
  CHECK(views.poll(*views.right_));
  CHECK(views.right_->is_up_to_date());
  CHECK(views.right_->current().text_ == "a");
}

TEST_CASE("a view is up to date within its maximum age unless a higher generation was seen") {
  auto views = two_views{};
  CHECK(!views.left_->is_up_to_date());
  views.poll(*views.left_);
  CHECK(views.left_->is_up_to_date());
  CHECK(views.left_->record_seen(4));
  CHECK(!views.left_->is_up_to_date());
  views.clock_->advance(5001);
  CHECK(!views.right_->is_up_to_date());
}

TEST_CASE("programs are assigned to policies by share, and stably") {
  auto configuration = fleet_configuration{};
  configuration.policies_["a"] = {{policy_kind::round_robin, {}}, policy_state::loaded, 3};
  configuration.policies_["b"] = {{policy_kind::least_loaded, {}}, policy_state::loaded, 1};
  configuration.policies_["c"] = {{policy_kind::least_loaded, {}}, policy_state::shadow, 9};
  auto assigned_to_a = 0;
  for (auto program = 0; program < 1000; ++program) {
    auto name = configuration.policy_for("notary", std::to_string(program));
    CHECK(name == configuration.policy_for("notary", std::to_string(program)));
    assigned_to_a += name == "a" ? 1 : 0;
  }
  CHECK(assigned_to_a > 700);
  CHECK(assigned_to_a < 800);
}

TEST_CASE("a configuration survives a round trip, and a malformed document is rejected") {
  auto configuration = fleet_configuration{};
  configuration.accounts_["notary"] = {"notary", {sha256_hex("key")}, std::nullopt, {}, 7};
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

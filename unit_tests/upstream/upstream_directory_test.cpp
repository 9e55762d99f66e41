/// The choice of an upstream: prefix, load, evidence.
#include "birchlever/upstream/upstream_directory.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

auto entry_of(const std::string& id) -> upstream_entry {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.service_ = "chat";
  entry.data_hall_ = "hall-a";
  entry.slots_ = 4;
  return entry;
}

auto wish_for(std::vector<prompt_part> parts) -> upstream_wish {
  auto wish = upstream_wish{};
  wish.service_ = "chat";
  wish.parts_ = std::move(parts);
  for (const auto& part : wish.parts_) {
    wish.prompt_tokens_ += part.tokens_;
  }
  wish.most_tokens_ = 100;
  wish.cache_room_ = 10000;
  return wish;
}

/// Two engines and the program-aware policy.
struct directory_fixture {
  directory_fixture() {
    directory_.put(entry_of("u1"));
    directory_.put(entry_of("u2"));
  }

  auto chosen(const upstream_wish& wish) -> std::string {
    auto choice = directory_.choose(*policy_, wish);
    return ok(choice) ? value(choice).chosen_->entry().id_ : std::string{};
  }

  upstream_directory directory_{upstream_directory_settings{"hall-a"}};
  std::unique_ptr<policy_interface> policy_ = value(make_policy(
      policy_settings{policy_kind::program_aware, {{"prefill_rate", 45000}, {"decode_rate", 120}}}));
};

}  // namespace

TEST_CASE("a prompt goes where its leading parts are") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({{1, 2000}, {2, 500}});
  auto first = fixture.directory_.find("u2");
  fixture.directory_.begin(*first, wish);
  fixture.directory_.end(*first, upstream_evidence::served);
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    REQUIRE(fixture.chosen(wish) == "u2");
  }
}

TEST_CASE("a full upstream is left for an idle one, prefix or not") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({{1, 500}});
  auto busy = fixture.directory_.find("u2");
  for (auto number = 0; number < 30; ++number) {
    fixture.directory_.begin(*busy, wish);
  }
  REQUIRE(fixture.chosen(wish) == "u1");
}

TEST_CASE("two failures in a row make an upstream avoided, one that is left alone is still used") {
  auto fixture = directory_fixture{};
  auto wish = wish_for({});
  auto bad = fixture.directory_.find("u1");
  for (auto failures = 0; failures < 2; ++failures) {
    fixture.directory_.begin(*bad, wish);
    fixture.directory_.end(*bad, upstream_evidence::failed);
  }
  for (auto seed = 0U; seed < 8; ++seed) {
    wish.seed_ = seed;
    REQUIRE(fixture.chosen(wish) == "u2");
  }
  wish.excluded_ = {"u2"};
  REQUIRE(fixture.chosen(wish) == "u1");
  wish.excluded_ = {"u1", "u2"};
  REQUIRE(fixture.chosen(wish).empty());
}

TEST_CASE("the view of a cache holds leading parts only and forgets the oldest") {
  auto cache = prompt_cache{};
  cache.set_room(1000);
  cache.used({{1, 400}, {2, 300}});
  REQUIRE(cache.held({{1, 400}, {2, 300}, {3, 10}}) == 700);
  REQUIRE(cache.held({{3, 10}, {1, 400}}) == 0);
  cache.used({{4, 600}});
  REQUIRE(cache.held({{4, 600}}) == 600);
  REQUIRE(cache.held({{1, 400}}) == 0);
  REQUIRE(cache.tokens() <= 1000);
}

}  // namespace birchlever

/// Tests that only prompt prefixes shared by programs are assumed to be cached by every engine.
#include "birchlever/upstream/shared_prefixes.h"

#include <catch2/catch.hpp>

#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

constexpr auto cache_capacity = std::int64_t{70000};  // Tokens.
const auto shared = prompt_part{1, 2500};

/// Records two turns each of programs that start at intervals of `gap` ms.
auto record_programs(int programs, milliseconds gap) -> shared_prefixes {
  auto prefixes = shared_prefixes{};
  for (auto program = 0; program < programs; ++program) {
    auto own = prompt_part{100 + static_cast<std::uint64_t>(program), 1000};
    auto name = "p" + std::to_string(program);
    prefixes.record(name, {shared, own}, 1000, program * gap);
    prefixes.record(name, {shared, own, {100000 + own.id_, 1000}}, 1000, program * gap + gap / 2);
  }
  return prefixes;
}

}  // namespace

TEST_CASE("a part shared by all programs is expected at every engine, unlike parts of single programs") {
  auto prefixes = record_programs(20, 500);
  CHECK(prefixes.expected_cached_tokens({shared, {110, 1000}}, cache_capacity, 10000) >= 2400);
  CHECK(prefixes.expected_cached_tokens({shared, {110, 1000}}, cache_capacity, 10000) <= 2500);
  CHECK(prefixes.expected_cached_tokens({{110, 1000}}, cache_capacity, 10000) == 0);
  CHECK(prefixes.expected_cached_tokens({{999, 1000}, shared}, cache_capacity, 10000) ==
        0);  // Counts only as part of a cached prefix.
}

TEST_CASE("turns of a single program do not make a part shared") {
  auto prefixes = shared_prefixes{};
  for (auto turn = 0; turn < 20; ++turn) {
    prefixes.record("p", {shared}, 100, turn * 300);
  }
  CHECK(prefixes.expected_cached_tokens({shared}, cache_capacity, 6000) == 0);
}

TEST_CASE("parts are not expected if the cache turns over between uses or if they are no longer used") {
  auto prefixes = record_programs(20, 500);
  CHECK(prefixes.expected_cached_tokens({shared}, 500, 10000) == 0);
  for (auto program = 0; program < 60; ++program) {
    prefixes.record("q" + std::to_string(program), {{7, 2500}}, 5000, 10000 + program * 500);
  }
  CHECK(prefixes.expected_cached_tokens({shared}, cache_capacity, 40000) == 0);
}

TEST_CASE("a shared part seen at one engine does not make a loaded engine preferred") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(100000);
  auto settings = upstream_directory_settings{"hall-a"};
  settings.clock_ = clock;
  auto directory = upstream_directory{settings};
  for (const auto* id : {"u1", "u2"}) {
    auto entry = upstream_entry{};
    entry.id_ = id;
    entry.service_ = "chat";
    entry.data_hall_ = "hall-a";
    entry.slots_ = 6;
    directory.put(entry);
  }
  auto policy = value(make_policy(policy_settings{
      policy_kind::program_aware, {{"prefill_rate", 45000}, {"decode_rate", 250}, {"cache_weight", 4}}}));
  auto criteria = upstream_criteria{};
  criteria.service_ = "chat";
  criteria.cache_capacity_ = cache_capacity;
  criteria.max_tokens_ = 136;
  auto target = directory.find("u1");
  auto program = 0U;
  auto next_program = [&] {
    criteria.program_ = "p" + std::to_string(++program);
    criteria.parts_ = {shared, {100 + program, 1000}};
    criteria.prompt_tokens_ = 3500;
    criteria.seed_ = program;
  };
  for (auto request = 0; request < 12; ++request) {
    next_program();
    auto sent_at = directory.record_sent(*target, criteria);
    clock->advance(300);
    directory.record_finished(*target, sent_at, upstream_outcome::served);
  }
  directory.set_running_elsewhere("u1", 5);
  next_program();
  auto choice = directory.choose(*policy, criteria);
  REQUIRE(ok(choice));
  CHECK(value(choice).chosen_->entry().id_ == "u2");
}

}  // namespace birchlever

/// Parts of prompts that many programs share are expected at every engine; those of one program are not.
#include "birchlever/upstream/shared_prefixes.h"

#include <catch2/catch.hpp>

#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {
namespace {

constexpr auto room = std::int64_t{70000};  // Tokens of an engine's memory, as on the platform's sheets.
const auto shared = prompt_part{1, 2500};

/// Programs that begin each `gap` ms; each sends two turns.
auto after_programs(int programs, milliseconds gap) -> shared_prefixes {
  auto common = shared_prefixes{};
  for (auto program = 0; program < programs; ++program) {
    auto own = prompt_part{100 + static_cast<std::uint64_t>(program), 1000};
    auto name = "p" + std::to_string(program);
    common.record(name, {shared, own}, 1000, program * gap);
    common.record(name, {shared, own, {100000 + own.id_, 1000}}, 1000, program * gap + gap / 2);
  }
  return common;
}

}  // namespace

TEST_CASE("a part that all programs share is expected at every engine, their own parts are not") {
  auto common = after_programs(20, 500);
  CHECK(common.expected_cached_tokens({shared, {110, 1000}}, room, 10000) >= 2400);
  CHECK(common.expected_cached_tokens({shared, {110, 1000}}, room, 10000) <= 2500);
  CHECK(common.expected_cached_tokens({{110, 1000}}, room, 10000) == 0);
  CHECK(common.expected_cached_tokens({{999, 1000}, shared}, room, 10000) == 0);  // Only behind what is held.
}

TEST_CASE("turns of one program make nothing common") {
  auto common = shared_prefixes{};
  for (auto turn = 0; turn < 20; ++turn) {
    common.record("p", {shared}, 100, turn * 300);
  }
  CHECK(common.expected_cached_tokens({shared}, room, 6000) == 0);
}

TEST_CASE("a memory that is read full between two uses keeps nothing, and what nobody uses any more fades") {
  auto common = after_programs(20, 500);
  CHECK(common.expected_cached_tokens({shared}, 500, 10000) == 0);
  for (auto program = 0; program < 60; ++program) {
    common.record("q" + std::to_string(program), {{7, 2500}}, 5000, 10000 + program * 500);
  }
  CHECK(common.expected_cached_tokens({shared}, room, 40000) == 0);
}

TEST_CASE("a daemon that met a shared part at one engine only does not queue there") {
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
  auto wish = upstream_criteria{};
  wish.service_ = "chat";
  wish.cache_capacity_ = room;
  wish.max_tokens_ = 136;
  auto met = directory.find("u1");
  auto program = 0U;
  auto next_program = [&] {
    wish.program_ = "p" + std::to_string(++program);
    wish.parts_ = {shared, {100 + program, 1000}};
    wish.prompt_tokens_ = 3500;
    wish.seed_ = program;
  };
  for (auto request = 0; request < 12; ++request) {
    next_program();
    auto began = directory.record_sent(*met, wish);
    clock->advance(300);
    directory.record_finished(*met, began, upstream_outcome::served);
  }
  directory.set_running_elsewhere("u1", 5);
  next_program();
  auto choice = directory.choose(*policy, wish);
  REQUIRE(ok(choice));
  CHECK(value(choice).chosen_->entry().id_ == "u2");
}

}  // namespace birchlever

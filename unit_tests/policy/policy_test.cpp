#include <catch2/catch.hpp>

#include "birchlever/policy/policy_interface.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

auto engines() -> std::vector<engine_view> {
  auto engines = std::vector<engine_view>(3);
  for (auto index = 0; index < 3; ++index) {
    auto& engine = engines[static_cast<std::size_t>(index)];
    engine.id_ = "engine-" + std::to_string(index);
    engine.capacity_ = 8;
    engine.cache_capacity_ = 100000;
    engine.running_ = 2;
  }
  return engines;
}

auto call() -> call_view {
  auto view = call_view{};
  view.prompt_tokens_ = 8000;
  view.max_tokens_ = 100;
  view.cached_tokens_ = {0, 0, 0};
  return view;
}

auto chosen(policy_kind kind, const call_view& view, const std::vector<engine_view>& list) -> std::size_t {
  auto policy = value(make_policy({kind, {}}));
  auto choice = policy->choose(view, list);
  REQUIRE(ok(choice));
  return value(choice).engine_;
}

}  // namespace

TEST_CASE("every policy is deterministic and refuses calls without a usable engine") {
  for (auto kind : {policy_kind::round_robin, policy_kind::least_loaded, policy_kind::prefix_affinity,
                    policy_kind::least_attained_service, policy_kind::program_aware}) {
    CHECK(chosen(kind, call(), engines()) == chosen(kind, call(), engines()));
    auto unusable = engines();
    for (auto& engine : unusable) {
      engine.usable_ = false;
    }
    auto refused = value(make_policy({kind, {}}))->choose(call(), unusable);
    REQUIRE(!ok(refused));
    CHECK(failure(refused).code_ == error_code::no_upstream);
  }
}

TEST_CASE("the program-aware policy prefers the engine with the cached prefix unless it is overloaded") {
  auto view = call();
  view.cached_tokens_ = {0, 7500, 0};
  auto list = engines();
  CHECK(chosen(policy_kind::program_aware, view, list) == 1);
  list[1].queued_ = 60;
  CHECK(chosen(policy_kind::program_aware, view, list) != 1);
}

TEST_CASE("calls sent since an outdated load report outweigh the report") {
  auto list = engines();
  list[0].running_ = 0;
  list[0].report_age_ms_ = 60000;
  list[0].sent_since_report_ = 40;
  CHECK(chosen(policy_kind::program_aware, call(), list) != 0);
}

TEST_CASE("parameters are checked by name and range") {
  CHECK(!ok(check_policy({policy_kind::program_aware, {{"cache_weight", 1000}}})));
  CHECK(!ok(check_policy({policy_kind::round_robin, {{"cache_weight", 1}}})));
  CHECK(ok(check_policy({policy_kind::program_aware, {{"cache_weight", 2}}})));
}

TEST_CASE("an idle connection offsets a limited amount of load, and only if configured") {
  auto list = engines();
  list[1].connected_ = true;
  list[1].running_ = 3;
  auto view = call();
  CHECK(chosen(policy_kind::least_loaded, view, list) != 1);
  auto policy = value(make_policy({policy_kind::least_loaded, {{"connection", 1.5}}}));
  CHECK(value(policy->choose(view, list)).engine_ == 1);
  list[1].running_ = 4;
  CHECK(value(policy->choose(view, list)).engine_ != 1);
}

TEST_CASE("the upstream table excludes leaving, drained and failing upstreams unless none is left") {
  auto table = upstream_table{};
  auto entry = [](const std::string& id) {
    auto upstream = vm_entry{id, vm_kind::engine, {"127.0.0.1", 1}, "a"};
    upstream.models_ = {"standard"};
    return upstream;
  };
  auto list = std::vector{entry("one"), entry("two")};
  auto policy = value(make_policy({policy_kind::least_loaded, {}}));
  auto request = placement_request{};
  request.call_.model_ = "standard";
  table.set_upstreams(list, {"one"}, {});
  CHECK(value(table.choose(*policy, request, 0)).upstream_.id_ == "two");
  list[1].leaving_ = true;
  table.set_upstreams(list, {}, {});
  CHECK(value(table.choose(*policy, request, 0)).upstream_.id_ == "one");
  list[1].leaving_ = false;
  table.set_upstreams(list, {}, {});
  table.record_finished("one", true, 10);
  table.record_finished("one", true, 10);
  CHECK(value(table.choose(*policy, request, 20)).upstream_.id_ == "two");
  request.call_.avoid_ = {"two"};
  CHECK(value(table.choose(*policy, request, 20)).upstream_.id_ == "one");
  request.call_.avoid_ = {"one", "two"};
  CHECK(ok(table.choose(*policy, request, 20)));
  table.set_upstreams({}, {}, {});
  CHECK(!ok(table.choose(*policy, request, 20)));
}

}  // namespace birchlever

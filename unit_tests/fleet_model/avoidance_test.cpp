/// Loads under which daemons judge upstreams: sound ones stay in use, dead ones are left at once.
#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet_model/fleet_model.h"

namespace birchlever::model {
namespace {

auto pattern_named(const std::string& name) -> load_pattern {
  auto read = read_pattern(std::string{FLEET_MODEL_PATTERNS} + "/" + name + ".pattern");
  REQUIRE(ok(read));
  return value(read);
}

auto played(const load_pattern& pattern, std::uint64_t seed = 1) -> model_outcome {
  auto outcome = play(pattern, {{}, {}, seed});
  REQUIRE(ok(outcome));
  return value(outcome);
}

/// The same load a daemon and an upstream, on a fleet of another size.
auto resized(load_pattern pattern, int daemons) -> load_pattern {
  auto factor = static_cast<double>(daemons) / pattern.daemons_;
  pattern.daemons_ = daemons;
  pattern.engines_ = static_cast<int>(pattern.engines_ * factor);
  pattern.services_ = static_cast<int>(pattern.services_ * factor);
  for (auto& shape : pattern.programs_) {
    shape.per_s_ *= factor;
  }
  return pattern;
}

}  // namespace

TEST_CASE("daemons that are cut off make nobody avoid sound upstreams, at any size of the fleet") {
  auto pattern = pattern_named("third_of_daemons_cut");
  for (auto daemons : {12, 66, 350}) {
    INFO(daemons << " daemons");
    auto fleet = resized(pattern, daemons);
    auto outcome = played(fleet);
    auto one_upstream = 1.0 / (fleet.engines_ + fleet.services_);
    CHECK(outcome.mean_avoided_ <= 0.001);
    CHECK(outcome.most_avoided_ <= std::max(0.01, one_upstream + 1e-9));
  }
}

TEST_CASE("upstreams that died are left by all within a second, also a whole data hall of them") {
  // What is left is requests that try again after each avoidance: 295 daemons, five times in five seconds.
  for (const auto& [name, bound] : {std::pair{"upstreams_dead", 0.15}, std::pair{"hall_dead", 0.4}}) {
    INFO(name);
    auto outcome = played(pattern_named(name));
    CHECK(outcome.dead_offers_ <= bound);
    CHECK(outcome.most_avoided_ <= 0.01);
  }
}

}  // namespace birchlever::model

#include "birchlever/gateway/gateway_settings.h"

#include <catch2/catch.hpp>

namespace birchlever {

TEST_CASE("all invalid settings are reported together") {
  auto settings = gateway_settings{};
  settings.stop_grace_s_ = 0;
  settings.engine_policy_ = "program_aware speed=3";
  auto errors = check_settings(settings);
  auto names = std::vector<std::string>{};
  for (const auto& invalid : errors) {
    names.push_back(invalid.name_);
  }
  REQUIRE(names == std::vector<std::string>{"data_hall", "store_address", "caller_address",
                                            "readiness_address", "engine_policy", "stop_grace_s"});
}

TEST_CASE("a policy consists of a kind and numeric parameters") {
  REQUIRE(ok(parse_policy("program_aware prefill_rate=45000")));
  REQUIRE_FALSE(ok(parse_policy("")));
  REQUIRE_FALSE(ok(parse_policy("program_aware prefill_rate")));
  REQUIRE_FALSE(ok(parse_policy("program_aware prefill_rate=fast")));
}

}  // namespace birchlever

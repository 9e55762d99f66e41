/// More programs than the engines bear: how evenly they are loaded decides how many come late.
#include <catch2/catch.hpp>

#include "fleet_model/fleet_model.h"

namespace birchlever::model {

TEST_CASE("programs that share their prompts' beginnings are spread over all engines in an overload") {
  auto read = read_pattern(std::string{FLEET_MODEL_PATTERNS} + "/overload.pattern");
  REQUIRE(ok(read));
  auto pattern = value(read);
  pattern.duration_ms_ = 12000;
  auto played = play(pattern, {{}, {}, 1});
  REQUIRE(ok(played));
  CHECK(value(played).worth_between(2, 6) >= 0.93);
  CHECK(value(played).idle_engines_ == 0);
  CHECK(value(played).busiest_engine_ <= 1.5);
}

TEST_CASE("a pattern that can't be read says which line is wrong") {
  auto text = std::string{"stands_for = x\ngrounds = y\n"};
  REQUIRE(ok(parse_pattern(text + "daemons = 12\ndisturb kind=burst at_ms=1 for_ms=2 factor=3\n")));
  for (const auto* line :
       {"daemons = many", "colour = 3", "disturb kind=rain", "program per_s=", "tool work=3"}) {
    auto read = parse_pattern(text + line + "\n");
    REQUIRE_FALSE(ok(read));
    CHECK(failure(read).code_ == error_code::invalid_setting);
    CHECK(failure(read).detail_.find(line) != std::string::npos);
  }
  CHECK_FALSE(ok(parse_pattern("daemons = 12\n")));
  CHECK_FALSE(ok(read_pattern("no-such-file")));
}

}  // namespace birchlever::model

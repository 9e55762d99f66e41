/// Names in keys: whose rows are whose, and which lie in whose range.
#include "birchlever/coordination/program_keys.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

constexpr auto most_key_bytes = std::size_t{200};  // The platform's limit.

auto in_range_of(const std::string& key, const std::string& program) -> bool {
  return key >= budget_key(program) && key < end_of_turns(program);
}

}  // namespace

TEST_CASE("the same name under two accounts, or under none, is two names in keys") {
  CHECK(key_name("p") == "p");
  CHECK(key_name({"a", "p"}) != key_name({"b", "p"}));
  CHECK(key_name({"a", "p"}) != key_name("p"));
  CHECK(key_name({"a", "b_p"}) != key_name({"a_b", "p"}));
  CHECK(key_name({"a:b", "p"}) != key_name({"a", "b:p"}));
  CHECK(key_name(key_name({"a", "p"})) != key_name({"a", "p"}));
}

TEST_CASE("no program's rows lie in the range of keys of another one, whatever their names share") {
  auto names =
      std::vector<scoped_name>{"a",  "a-b",      "a.b",        "a!",        "a/b",       "a0",
                               "ab", {"a", "p"}, {"a", "p-1"}, {"a", "p1"}, {"ab", "p"}, {"a-b", "p"}};
  for (const auto& one : names) {
    for (const auto& other : names) {
      auto same = &one == &other;
      CHECK(in_range_of(budget_key(key_name(other)), key_name(one)) == same);
      CHECK(in_range_of(turns_prefix(key_name(other)) + "t/000", key_name(one)) == same);
    }
  }
}

TEST_CASE("keys stay within the platform's limit, however long the names are") {
  auto longest = scoped_name{std::string(300, 'a'), std::string(300, 'p')};
  auto longest_plain = scoped_name{std::string(30, 'a'), std::string(33, 'p')};
  for (const auto& name : {longest, longest_plain}) {
    auto key = turns_prefix(key_name(name)) + key_name(name) + "/000";
    CHECK(key.size() <= most_key_bytes);
  }
}

}  // namespace birchlever

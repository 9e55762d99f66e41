/// Guards against key collisions and overlapping key ranges of programs and accounts.
#include "birchlever/coordination/program_keys.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

constexpr auto max_key_bytes = std::size_t{200};  // Limit of the platform's store.

auto in_range_of(const std::string& key, const std::string& program) -> bool {
  return key >= budget_key(program) && key < end_of_turns(program);
}

}  // namespace

TEST_CASE("equal names of different accounts, or of no account, have different keys") {
  CHECK(key_name("p") == "p");
  CHECK(key_name({"a", "p"}) != key_name({"b", "p"}));
  CHECK(key_name({"a", "p"}) != key_name("p"));
  CHECK(key_name({"a", "b_p"}) != key_name({"a_b", "p"}));
  CHECK(key_name({"a:b", "p"}) != key_name({"a", "b:p"}));
  CHECK(key_name(key_name({"a", "p"})) != key_name({"a", "p"}));
}

TEST_CASE("the key range of a program never contains rows of another program") {
  auto names =
      std::vector<scoped_name>{"a",  "a-b",      "a.b",        "a!",        "a/b",       "a0",
                               "ab", {"a", "p"}, {"a", "p-1"}, {"a", "p1"}, {"ab", "p"}, {"a-b", "p"}};
  for (const auto& left : names) {
    for (const auto& right : names) {
      auto same = &left == &right;
      CHECK(in_range_of(budget_key(key_name(right)), key_name(left)) == same);
      CHECK(in_range_of(turns_prefix(key_name(right)) + "t/000", key_name(left)) == same);
    }
  }
}

TEST_CASE("keys of long names stay within the platform's limit") {
  auto longest = scoped_name{std::string(300, 'a'), std::string(300, 'p')};
  auto longest_plain = scoped_name{std::string(30, 'a'), std::string(33, 'p')};
  for (const auto& name : {longest, longest_plain}) {
    auto key = turns_prefix(key_name(name)) + key_name(name) + "/000";
    CHECK(key.size() <= max_key_bytes);
  }
}

}  // namespace birchlever

#include "birchlever/coordination/program_keys.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto max_name_length = std::size_t{64};  // Longer names are hashed.
constexpr auto turns_end = '0';                    // The character after the slash of turns_prefix.

constexpr auto account_separator =
    ':';  // Sorts after every character that ends a name in a key, so that the rows
          // of a program are outside the range of one named like its account.

/// Returns true for characters that sort no lower than the end of the turns' range, so that a longer name is
/// outside the key range of any prefix of it.
auto is_plain(unsigned char character) -> bool {
  return std::isalnum(character) != 0 || character == '_';
}

auto hashed_name(const std::string& identity) -> std::string {
  auto text = std::array<char, 48>{};
  std::snprintf(text.data(), text.size(), "~%016llx%016llx",
                static_cast<unsigned long long>(hash_of(identity, 1)),
                static_cast<unsigned long long>(hash_of(identity, 2)));
  return text.data();
}

auto key_component(const std::string& identity) -> std::string {
  auto fits = !identity.empty() && identity.size() <= max_name_length;
  auto plain = fits && std::all_of(identity.begin(), identity.end(), is_plain);
  return plain ? identity : hashed_name(identity);
}

}  // namespace

auto key_name(const scoped_name& identity) -> std::string {
  if (identity.account_.empty()) {
    return key_component(identity.name_);
  }
  auto name = key_component(identity.account_) + account_separator + key_component(identity.name_);
  return name.size() <= max_name_length ? name : hashed_name(name);
}

auto budget_key(const std::string& program) -> std::string {
  return program + "!";
}

auto turns_prefix(const std::string& program) -> std::string {
  return program + "/";
}

auto end_of_turns(const std::string& program) -> std::string {
  return program + turns_end;
}

auto index_key(const std::string& program) -> std::string {
  return "!" + program;
}

auto part_name(int number) -> std::string {
  return "p" + std::to_string(number);
}

}  // namespace birchlever

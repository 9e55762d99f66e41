#include "birchlever/coordination/program_keys.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto longest_name = std::size_t{64};  // Longer identities are hashed into a row's key.
constexpr auto behind_turns = '0';              // The next letter after the slash of turns_prefix.

constexpr auto behind_account = ':';  // Behind every letter that ends a name in a key, so that the rows of a
                                      // program lie outside the range of one whose name is its account's.

/// Letters that sort behind behind_turns only: a longer name lies outside the range of its own beginning.
auto is_plain(unsigned char letter) -> bool {
  return std::isalnum(letter) != 0 || letter == '_';
}

auto hashed(const std::string& identity) -> std::string {
  auto text = std::array<char, 48>{};
  std::snprintf(text.data(), text.size(), "~%016llx%016llx",
                static_cast<unsigned long long>(hash_of(identity, 1)),
                static_cast<unsigned long long>(hash_of(identity, 2)));
  return text.data();
}

auto key_part(const std::string& identity) -> std::string {
  auto fits = !identity.empty() && identity.size() <= longest_name;
  auto plain = fits && std::all_of(identity.begin(), identity.end(), is_plain);
  return plain ? identity : hashed(identity);
}

}  // namespace

auto key_name(const scoped_name& identity) -> std::string {
  if (identity.account_.empty()) {
    return key_part(identity.name_);
  }
  auto name = key_part(identity.account_) + behind_account + key_part(identity.name_);
  return name.size() <= longest_name ? name : hashed(name);
}

auto budget_key(const std::string& program) -> std::string {
  return program + "!";
}

auto turns_prefix(const std::string& program) -> std::string {
  return program + "/";
}

auto end_of_turns(const std::string& program) -> std::string {
  return program + behind_turns;
}

auto index_key(const std::string& program) -> std::string {
  return "!" + program;
}

auto part_name(int number) -> std::string {
  return "p" + std::to_string(number);
}

}  // namespace birchlever

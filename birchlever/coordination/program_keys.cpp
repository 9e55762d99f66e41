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

}  // namespace

auto key_name(const std::string& identity) -> std::string {
  auto plain = [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
  };
  auto fits = !identity.empty() && identity.size() <= longest_name;
  if (fits && std::all_of(identity.begin(), identity.end(), plain)) {
    return identity;
  }
  auto text = std::array<char, 48>{};
  std::snprintf(text.data(), text.size(), "~%016llx%016llx",
                static_cast<unsigned long long>(hash_of(identity, 1)),
                static_cast<unsigned long long>(hash_of(identity, 2)));
  return text.data();
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

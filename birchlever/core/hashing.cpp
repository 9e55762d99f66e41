#include "birchlever/core/hashing.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>

namespace birchlever {

auto hash_of(std::string_view text, std::uint64_t seed) -> std::uint64_t {
  return XXH64(text.data(), text.size(), seed);
}

auto shard_of(std::string_view account, std::string_view program, int shard_count) -> int {
  auto seed = hash_of(account);
  return static_cast<int>(hash_of(program, seed) % static_cast<std::uint64_t>(shard_count));
}

auto rendezvous_weight(std::string_view candidate, std::string_view key) -> std::uint64_t {
  return hash_of(candidate, hash_of(key));
}

auto random_id() -> std::string {
  thread_local auto generator =
      std::mt19937_64{(static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}()};
  auto text = std::array<char, 33>{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(generator()),
                static_cast<unsigned long long>(generator()));
  return text.data();
}

auto constant_time_equal(std::string_view left, std::string_view right) -> bool {
  auto difference = left.size() ^ right.size();
  for (auto index = std::size_t{0}; index < left.size() && index < right.size(); ++index) {
    difference |= static_cast<unsigned char>(left[index] ^ right[index]);
  }
  return difference == 0;
}

}  // namespace birchlever

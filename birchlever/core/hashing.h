/// Platform-independent hashes, random identifiers and comparison of secrets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace birchlever {

/// Returns the 64-bit xxHash of the text.
[[nodiscard]] auto hash_of(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// Returns the shard of a program. The account is hashed too, so equal program names of different accounts
/// are placed independently.
[[nodiscard]] auto shard_of(std::string_view account, std::string_view program, int shard_count) -> int;

/// Returns the rendezvous hashing weight of a candidate for a key. The candidate with the highest weight is
/// selected.
[[nodiscard]] auto rendezvous_weight(std::string_view candidate, std::string_view key) -> std::uint64_t;

/// Returns a random 128-bit identifier in hexadecimal.
[[nodiscard]] auto random_id() -> std::string;

/// Compares secrets in a time that does not depend on where they differ.
[[nodiscard]] auto constant_time_equal(std::string_view left, std::string_view right) -> bool;

}  // namespace birchlever

/// Hashes and random identifiers that every daemon computes alike.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace birchlever {

/// A 64-bit xxHash of the text, the same on every machine.
[[nodiscard]] auto hash_of(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// The shard that sequences a program. Programs of different accounts never share an identity.
[[nodiscard]] auto shard_of(std::string_view account, std::string_view program, int shard_count) -> int;

/// The rendezvous weight of a candidate for a subject; the highest weight wins.
[[nodiscard]] auto rendezvous_weight(std::string_view candidate, std::string_view subject) -> std::uint64_t;

/// A random 128-bit identifier in hexadecimal.
[[nodiscard]] auto random_id() -> std::string;

/// Compares secrets without telling by its duration where they differ.
[[nodiscard]] auto equal_secrets(std::string_view left, std::string_view right) -> bool;

}  // namespace birchlever

/// Digests of client keys. Keys themselves must not be stored or written to logs, metrics or errors.
#pragma once

#include <string>
#include <string_view>

namespace birchlever {

/// Returns the SHA-256 digest of a text in hexadecimal.
[[nodiscard]] auto sha256_hex(std::string_view text) -> std::string;

/// Returns the leading digits of a digest, which identify a key in logs without revealing it.
[[nodiscard]] auto abbreviated_digest(std::string_view digest) -> std::string;

}  // namespace birchlever

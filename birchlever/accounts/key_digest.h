/// Digests of callers' keys. A key itself is read once and kept nowhere: not in memory, logs, metrics or
/// errors.
#pragma once

#include <string>
#include <string_view>

namespace birchlever {

/// SHA-256 of a text, in hexadecimal.
[[nodiscard]] auto sha256_of(std::string_view text) -> std::string;

/// The beginning of a digest, enough to tell keys apart in logs and far too little to find one.
[[nodiscard]] auto shown_digest(std::string_view digest) -> std::string;

}  // namespace birchlever

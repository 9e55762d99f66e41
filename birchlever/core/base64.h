/// Base64 encoding and decoding with OpenSSL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace birchlever {

/// Encodes bytes as padded base64.
[[nodiscard]] auto to_base64(std::string_view bytes) -> std::string;

/// Decodes padded base64. Returns nothing if the text is not valid base64.
[[nodiscard]] auto from_base64(std::string_view text) -> std::optional<std::string>;

}  // namespace birchlever

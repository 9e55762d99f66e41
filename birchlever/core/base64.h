/// Base64 by OpenSSL, for bytes that travel inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace birchlever {

/// The bytes as base64 with padding.
[[nodiscard]] auto to_base64(std::string_view bytes) -> std::string;

/// The bytes behind padded base64; nothing when the text is not base64.
[[nodiscard]] auto from_base64(std::string_view text) -> std::optional<std::string>;

}  // namespace birchlever

/// Parses JSON and CBOR from outside the process. The library's own functions recurse into nested values when
/// they parse CBOR, and when they copy or write what was parsed, so that a row of brackets would end the
/// process.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "birchlever/core/result.h"

namespace birchlever {

/// Values nested more deeply than this are malformed.
inline constexpr auto max_nesting = 64;

/// Parses JSON text. Failures: malformed_json.
[[nodiscard]] auto parse_json(std::string_view text) -> result<nlohmann::json>;

/// Parses CBOR. Failures: malformed_json.
[[nodiscard]] auto parse_cbor(std::string_view bytes) -> result<nlohmann::json>;

}  // namespace birchlever

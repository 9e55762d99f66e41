/// Settings of a daemon, read from flags and environment variables (BIRCHLEVER_<NAME>), and their validation.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// All settings. Defaults, ranges and units are defined in settings.def.
struct daemon_settings {
#define NUMBER_SETTING(name, default_value, min, max, unit, description) std::int64_t name##_ = default_value;
#define TEXT_SETTING(name, default_value, format, description) std::string name##_ = default_value;
#define SECRET_SETTING(name, description) std::string name##_;
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING
};

/// An invalid setting and the reason.
struct setting_error {
  std::string name_;
  std::string value_;  ///< Hidden for secrets.
  std::string reason_;
};

/// Validates all settings and the relations between them. Returns all errors found.
[[nodiscard]] auto check_settings(const daemon_settings& settings) -> std::vector<setting_error>;

/// Returns a help text with one line per setting.
[[nodiscard]] auto describe_settings() -> std::string;

/// Splits a comma-separated list, skipping empty entries.
[[nodiscard]] auto split_list(const std::string& text) -> std::vector<std::string>;

}  // namespace birchlever

/// The checked settings of a daemon, from flags and environment variables (BIRCHLEVER_<NAME>).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// Every setting by name. Defaults, ranges and units are in settings.def.
struct daemon_settings {
#define NUMBER_SETTING(name, standard, least, most, unit, purpose) std::int64_t name##_ = standard;
#define TEXT_SETTING(name, standard, shape, purpose) std::string name##_ = standard;
#define SECRET_SETTING(name, purpose) std::string name##_;
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING
};

/// What is wrong with one setting.
struct setting_fault {
  std::string name_;
  std::string value_;  ///< Hidden for secrets.
  std::string reason_;
};

/// All faults of the settings at once, those between settings included; none when they are good.
[[nodiscard]] auto check_settings(const daemon_settings& settings) -> std::vector<setting_fault>;

/// The table of settings as text for people, one line each.
[[nodiscard]] auto describe_settings() -> std::string;

/// Splits a comma-separated list, leaving out empty entries.
[[nodiscard]] auto split_list(const std::string& text) -> std::vector<std::string>;

}  // namespace birchlever

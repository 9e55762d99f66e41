/// Settings of a gateway daemon, from a flag file, flags and environment variables.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/daemon_settings.h"
#include "birchlever/policy/policy_settings.h"

namespace birchlever {

/// Defaults, ranges and units are in gateway_settings.def.
struct gateway_settings {
  std::string vm_id_;
  std::string data_hall_;
  std::string store_address_;
  std::string log_level_ = "info";
#define TEXT_SETTING(name, default_value, description) std::string name##_ = default_value;
#define REAL_SETTING(name, default_value, min, max, unit, description) double name##_ = default_value;
#define NUMBER_SETTING(name, default_value, min, max, unit, description) std::int64_t name##_ = default_value;
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING
};

/// Returns all invalid settings, or an empty list.
[[nodiscard]] auto check_settings(const gateway_settings& settings) -> std::vector<setting_error>;

/// Returns a help text with one line per setting.
[[nodiscard]] auto describe_gateway_settings() -> std::string;

/// Parses a policy and its parameters from "kind name=number name=number". Failures: invalid_command.
[[nodiscard]] auto parse_policy(const std::string& text) -> result<policy_settings>;

}  // namespace birchlever

/// The checked settings of a gateway daemon, from a flag file, flags and environment variables.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/core/daemon_settings.h"
#include "birchlever/policy/policy_settings.h"

namespace birchlever {

/// Every setting by name. Defaults, ranges and units are in gateway_settings.def.
struct gateway_settings {
  std::string vm_id_;
  std::string data_hall_;
  std::string store_address_;
  std::string log_level_ = "info";
#define TEXT_SETTING(name, standard, purpose) std::string name##_ = standard;
#define REAL_SETTING(name, standard, least, most, unit, purpose) double name##_ = standard;
#define NUMBER_SETTING(name, standard, least, most, unit, purpose) std::int64_t name##_ = standard;
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING
};

/// All faults of the settings at once; none when they are good.
[[nodiscard]] auto check_settings(const gateway_settings& settings) -> std::vector<setting_error>;

/// The table of a gateway's settings as text for people, one line each.
[[nodiscard]] auto describe_gateway_settings() -> std::string;

/// Reads a policy with its parameters: "kind name=number name=number". Failures: invalid_command.
[[nodiscard]] auto parse_policy(const std::string& text) -> result<policy_settings>;

}  // namespace birchlever

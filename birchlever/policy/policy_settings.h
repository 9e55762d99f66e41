/// Policy configuration: a kind and its named parameters.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// Policy kinds. Their names and parameters are listed in policy_settings.cpp.
enum class policy_kind { round_robin, least_loaded, prefix_affinity, least_attained_service, program_aware };

/// Configuration of one policy.
struct policy_settings {
  policy_kind kind_ = policy_kind::program_aware;
  std::map<std::string, double> parameters_;  ///< Overrides; parameters not listed have their default value.

  /// Returns the configured value of a parameter, or its default; 0 if the kind has no such parameter.
  [[nodiscard]] auto parameter(const std::string& name) const -> double;
};

/// Describes a policy parameter: name, default, valid range and purpose.
struct policy_parameter {
  std::string_view name_;
  double default_ = 0;
  double min_ = 0;
  double max_ = 0;
  std::string_view purpose_;
};

/// Returns the name of a kind as used in the configuration.
[[nodiscard]] auto name_of(policy_kind kind) -> std::string_view;

/// Parses the name of a kind. Failures: invalid_command, listing the known kinds.
[[nodiscard]] auto parse_policy_kind(std::string_view name) -> result<policy_kind>;

/// Returns the parameters that a kind accepts.
[[nodiscard]] auto parameters_of(policy_kind kind) -> std::vector<policy_parameter>;

/// Checks that every parameter is known and within range. Failures: invalid_command, listing all violations.
[[nodiscard]] auto check_policy(const policy_settings& settings) -> status;

}  // namespace birchlever

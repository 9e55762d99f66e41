/// A policy as operators make it: a kind and named, checked parameters.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// The kinds of policy. The table in policy_settings.cpp gives their names and parameters.
enum class policy_kind { round_robin, least_loaded, prefix_affinity, least_attained_service, program_aware };

/// What an operator names when creating a policy.
struct policy_settings {
  policy_kind kind_ = policy_kind::program_aware;
  std::map<std::string, double> parameters_;  ///< Only those that differ from their defaults.

  /// A parameter's value, or its default.
  [[nodiscard]] auto parameter(const std::string& name) const -> double;
};

/// A parameter of a kind with its range.
struct policy_parameter {
  std::string_view name_;
  double standard_ = 0;
  double least_ = 0;
  double most_ = 0;
  std::string_view purpose_;
};

/// The stable name of a kind.
[[nodiscard]] auto name_of(policy_kind kind) -> std::string_view;

/// Finds a kind by name. Failures: invalid_command naming the known kinds.
[[nodiscard]] auto parse_policy_kind(std::string_view name) -> result<policy_kind>;

/// The parameters a kind knows.
[[nodiscard]] auto parameters_of(policy_kind kind) -> std::vector<policy_parameter>;

/// Checks that every parameter is known and in range. Failures: invalid_command naming all faults.
[[nodiscard]] auto check_policy(const policy_settings& settings) -> status;

}  // namespace birchlever

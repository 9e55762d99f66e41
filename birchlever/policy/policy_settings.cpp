#include "birchlever/policy/policy_settings.h"

#include <array>
#include <sstream>

namespace birchlever {
namespace {

constexpr auto kind_names = std::array<std::string_view, 5>{"round_robin", "least_loaded", "prefix_affinity",
                                                            "least_attained_service", "program_aware"};

const auto load_parameters = std::vector<policy_parameter>{
    {"connection", 0, 0, 100, "calls by which an engine may be fuller when a kept connection to it is free"},
};

const auto affinity_parameters = std::vector<policy_parameter>{
    {"overload", 1.5, 1.0, 100.0, "leave the prefix's engine when its load is so many times the mean"},
};

const auto service_parameters = std::vector<policy_parameter>{
    {"step", 1024, 1, 1e9, "tokens of service per priority level"},
};

const auto aware_parameters = std::vector<policy_parameter>{
    {"prefill_rate", 8000, 1, 1e9, "prompt tokens an engine takes in a second"},
    {"decode_rate", 24, 0.1, 1e6, "tokens a second one stream gets from an idle engine"},
    {"queue_weight", 1.0, 0, 100, "weight of the expected wait for a place"},
    {"cache_weight", 1.0, 0, 100, "weight of prompt tokens computed again"},
    {"waste_weight", 0.3, 0, 100, "weight of prefix copies left on other engines"},
    {"view_half_life", 4000, 1, 1e9, "age in ms at which a view is half believed"},
    {"hall_ms", 1.5, 0, 1e6, "time one way between data halls, in ms"},
    {"service_step", 2048, 1, 1e9, "tokens of service per priority level"},
    {"crowding", 1.0, 0, 10,
     "how much longer a token takes on a full engine than on an empty one, as a share"},
    {"eviction_weight", 0.5, 0, 100, "weight of pushing other programs' prefixes out"},
};

}  // namespace

auto name_of(policy_kind kind) -> std::string_view {
  return kind_names.at(static_cast<std::size_t>(kind));
}

auto parse_policy_kind(std::string_view name) -> result<policy_kind> {
  auto known = std::string{};
  for (auto index = std::size_t{0}; index < kind_names.size(); ++index) {
    if (kind_names.at(index) == name) {
      return static_cast<policy_kind>(index);
    }
    known += (index == 0 ? "" : ", ") + std::string{kind_names.at(index)};
  }
  return error{error_code::invalid_command,
               "unknown policy kind '" + std::string{name} + "'; known kinds: " + known};
}

auto parameters_of(policy_kind kind) -> std::vector<policy_parameter> {
  switch (kind) {
    case policy_kind::prefix_affinity:
      return affinity_parameters;
    case policy_kind::least_attained_service:
      return service_parameters;
    case policy_kind::program_aware:
      return aware_parameters;
    case policy_kind::least_loaded:
      return load_parameters;
    case policy_kind::round_robin:
      break;
  }
  return {};
}

auto policy_settings::parameter(const std::string& name) const -> double {
  auto found = parameters_.find(name);
  if (found != parameters_.end()) {
    return found->second;
  }
  for (const auto& known : parameters_of(kind_)) {
    if (known.name_ == name) {
      return known.default_;
    }
  }
  return 0;
}

auto check_policy(const policy_settings& settings) -> status {
  auto violations = std::ostringstream{};
  auto known = parameters_of(settings.kind_);
  for (const auto& [name, number] : settings.parameters_) {
    auto violation = std::string{"is not a parameter of " + std::string{name_of(settings.kind_)}};
    for (const auto& parameter : known) {
      if (parameter.name_ != name) {
        continue;
      }
      auto range = std::ostringstream{};
      range << "must be from " << parameter.min_ << " to " << parameter.max_;
      violation = number >= parameter.min_ && number <= parameter.max_ ? "" : range.str();
    }
    if (!violation.empty()) {
      violations << (violations.tellp() > 0 ? "; " : "") << name << ' ' << violation;
    }
  }
  if (violations.tellp() > 0) {
    return error{error_code::invalid_command, violations.str()};
  }
  return success;
}

}  // namespace birchlever

#include "birchlever/policy/policy_settings.h"

#include <array>
#include <sstream>

namespace birchlever {
namespace {

constexpr auto kind_names = std::array<std::string_view, 5>{"round_robin", "least_loaded", "prefix_affinity",
                                                            "least_attained_service", "program_aware"};

const auto load_parameters = std::vector<policy_parameter>{
    {"connection", 0, 0, 100,
     "load advantage of an engine with an idle pooled connection, in concurrent calls"},
};

const auto affinity_parameters = std::vector<policy_parameter>{
    {"overload", 1.5, 1.0, 100.0,
     "maximum load of an engine preferred for its cached prefix, as a multiple of the mean load"},
};

const auto service_parameters = std::vector<policy_parameter>{
    {"step", 1024, 1, 1e9, "attained service per priority level, in tokens"},
};

const auto aware_parameters = std::vector<policy_parameter>{
    {"prefill_rate", 8000, 1, 1e9, "prefill throughput of an engine, in prompt tokens per second"},
    {"decode_rate", 24, 0.1, 1e6, "decode rate of a single stream on an idle engine, in tokens per second"},
    {"queue_weight", 1.0, 0, 100, "weight of the estimated queueing time; dimensionless"},
    {"cache_weight", 1.0, 0, 100,
     "weight of the time to prefill prompt tokens that are not cached; dimensionless"},
    {"waste_weight", 0.3, 0, 100,
     "weight of the prefill time of prefixes cached on other engines; dimensionless"},
    {"view_half_life", 4000, 1, 1e9, "half-life of the weight of a load report, in ms"},
    {"hall_ms", 1.5, 0, 1e6, "one-way network latency between data halls, in ms"},
    {"service_step", 2048, 1, 1e9,
     "attained service of the first priority level, in tokens; each further level spans twice as much"},
    {"crowding", 1.0, 0, 10, "relative increase of the time per token on a full engine over an idle one"},
    {"eviction_weight", 0.5, 0, 100,
     "weight of the prefill time of cached tokens evicted by the call; dimensionless"},
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

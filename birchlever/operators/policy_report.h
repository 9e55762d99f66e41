/// The comparison of policies that operators read.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// Joins the daemons' records of the named policies into rows with quantiles and confidence intervals, and
/// says which is better and how sure that is. Failures: invalid_command when a name has no record.
[[nodiscard]] auto policy_report(const nlohmann::json& records, const std::vector<std::string>& names)
    -> result<std::string>;

}  // namespace birchlever

/// Conditions, order and limit over rows of answers.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "birchlever/operators/statement.h"

namespace birchlever {

/// Leaves the rows that fit the conditions. A field that a row lacks fits nothing but `!=`.
auto keep_matching(nlohmann::json& rows, const std::vector<row_condition>& conditions) -> void;

/// Orders the rows and cuts them to the limit; numbers by value, all else by text.
auto order_and_limit(nlohmann::json& rows, const statement& parsed) -> void;

}  // namespace birchlever

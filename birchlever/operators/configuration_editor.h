/// What a command changes in the fleet's configuration.
#pragma once

#include <string>

#include "birchlever/coordination/fleet_configuration.h"
#include "birchlever/operators/statement.h"

namespace birchlever {

/// Applies a command to a copy of the configuration. Failures: invalid_command with the reason. Commands
/// that change nothing in the configuration, such as `end program`, leave it as it is.
[[nodiscard]] auto edit_configuration(const statement& command, fleet_configuration before)
    -> result<fleet_configuration>;

}  // namespace birchlever

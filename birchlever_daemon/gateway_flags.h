/// A gateway's settings as gflags and environment variables give them.
#pragma once

#include <string>
#include <vector>

#include "birchlever/gateway/gateway_settings.h"

namespace birchlever {

/// The settings as flags, environment and the text of a flag file give them; the text may be empty. The file
/// goes first, and its path is for messages only. Faults of the text and of environment variables are added;
/// ranges are not checked here.
[[nodiscard]] auto read_gateway_settings(const std::string& text, const std::string& file,
                                         std::vector<setting_error>& faults) -> gateway_settings;

/// Sets a flag from its environment variable BIRCHLEVER_<NAME> unless the command line gave it.
auto take_from_environment(const std::string& name, std::vector<setting_error>& faults) -> void;

}  // namespace birchlever

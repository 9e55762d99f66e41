/// The settings file of a gateway, which the platform may be writing while it is read.
#pragma once

#include <string>

#include "birchlever/core/result.h"

namespace birchlever {

/// First line of a file that ends with `closing_line`. A file without it is taken as it is.
inline constexpr auto opening_line = "# settings, ended by the line: # end of settings";
inline constexpr auto closing_line = "# end of settings";

/// Reads the file. Failures: settings_incomplete if it cannot be read, holds no setting, or begins with
/// `opening_line` and does not end with `closing_line`: it may be whole a moment later.
[[nodiscard]] auto read_settings_file(const std::string& file) -> result<std::string>;

}  // namespace birchlever

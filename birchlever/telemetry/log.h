/// Log lines as JSON: one object a line, with time, level, event and typed fields.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "birchlever/core/error.h"

namespace birchlever {

/// How much a line matters.
enum class log_level { debug, info, warning, error };

/// A field's value.
using log_value = std::variant<std::string, std::int64_t, double, bool>;

/// A named field.
using log_field = std::pair<std::string_view, log_value>;

/// Prepares logging for this process. Lines go to standard output; the name tells processes apart.
auto start_log(const std::string& process_name, log_level lowest) -> void;

/// Changes the lowest level that is written.
auto set_log_level(log_level lowest) -> void;

/// Writes one line. Secrets are never passed as fields.
auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {}) -> void;

/// Lines that were dropped because nobody read them in time.
[[nodiscard]] auto dropped_log_lines() -> std::int64_t;

/// Writes one line about a failure.
auto log_failure(log_level level, std::string_view event, const error& failure) -> void;

/// The stable name of a level.
[[nodiscard]] auto name_of(log_level level) -> std::string_view;

/// The level of a name; `error` for an unknown one.
[[nodiscard]] auto level_of(std::string_view name) -> log_level;

}  // namespace birchlever

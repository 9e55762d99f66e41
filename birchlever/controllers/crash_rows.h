/// How records of the crash history are stored: a row each, with the key FINGERPRINT/STATE/UPSTREAM and the
/// round as its value.
#pragma once

#include <optional>
#include <string>

#include "birchlever/coordination/crash_history.h"

namespace birchlever {

/// Returns the key of a record's row. The state is part of the key: a write of an open send that the store
/// applies late must not replace a crash.
[[nodiscard]] auto crash_row_key(const send_record& record) -> std::string;

/// Returns the record of a row's key, of round 1; none if a later version wrote it.
[[nodiscard]] auto parse_crash_row_key(const std::string& key) -> std::optional<send_record>;

/// Returns the round that a row has as its value; 1 if it has none.
[[nodiscard]] auto parse_round(const std::string& value) -> int;

}  // namespace birchlever

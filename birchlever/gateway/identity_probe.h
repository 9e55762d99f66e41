/// Finds out whether an incarnation of an upstream still runs.
#pragma once

#include <string>
#include <string_view>

#include "birchlever/http/task.h"

namespace birchlever {

class request_dialect;
struct upstream_entry;

/// What a probe shows about an incarnation.
enum class identity_state {
  alive,     ///< It answered.
  replaced,  ///< Another incarnation answered at its address.
  closed,    ///< The connection was refused: no process listens on the port.
  open,      ///< The connection was accepted, but nobody said who listens.
  silent     ///< No response within the limit, or no route to the host.
};

/// Returns the name of a state in logs and metrics.
[[nodiscard]] auto name_of(identity_state state) -> std::string_view;

/// Returns true if the state shows that the incarnation has ended.
[[nodiscard]] auto has_ended(identity_state state) -> bool;

/// Asks for the health of an upstream within `limit` ms, on a connection of its own: an open port may be that
/// of another process, or be held for one. With an empty `health_path` it only connects.
auto probe_identity(event_loop& loop, const request_dialect& dialect, upstream_entry entry,
                    std::string health_path, milliseconds limit) -> task<identity_state>;

}  // namespace birchlever

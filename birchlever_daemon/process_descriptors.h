/// The file descriptors of a daemon: how many it may open, and which it never hands to a socket.
#pragma once

#include <cstddef>
#include <cstdint>

namespace birchlever {

/// Opens /dev/null for standard input, output and error where they are closed. Without it, the next sockets
/// get their numbers, and the log is written into them. To be called first in main.
auto reserve_standard_descriptors() -> void;

/// Raises the process's own limit as far as it may, at most to `most` if that is not 0. Returns the
/// descriptors that the process may open.
auto raise_descriptor_limit(std::int64_t most) -> std::size_t;

/// Returns how many connections may be accepted, with `descriptors` in all: each request may take another one
/// for its upstream, and some are kept for the store, for pages and for files.
[[nodiscard]] auto connections_for_callers(std::size_t descriptors) -> std::size_t;

}  // namespace birchlever

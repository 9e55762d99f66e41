/// What the process takes of its machine.
#pragma once

#include <cstddef>
#include <cstdint>

namespace birchlever {

/// Makes the heap return large blocks to the system as soon as they are freed. Without it the C library keeps
/// blocks of up to 32 MB once a first one of that size was freed.
auto return_large_blocks() -> void;

/// Returns the bytes that may be held for callers in a process that may use `memory_mb` in all; the rest is
/// for code, caches, connections, and for what an allocator needs beyond what it hands out. `memory_mb` of 0:
/// unknown.
[[nodiscard]] auto memory_for_callers(std::int64_t memory_mb) -> std::size_t;

/// Returns how many idle connections fit into what such a process keeps for itself.
[[nodiscard]] auto connections_within_memory(std::int64_t memory_mb) -> std::size_t;

/// Returns the resident memory in bytes; 0 if the system does not tell.
[[nodiscard]] auto resident_bytes() -> std::size_t;

/// Returns the number of open descriptors; 0 if the system does not tell.
[[nodiscard]] auto open_descriptors() -> std::size_t;

}  // namespace birchlever

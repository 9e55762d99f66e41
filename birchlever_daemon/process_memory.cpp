#include "birchlever_daemon/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "birchlever/core/memory_budget.h"
#include "birchlever/http/connection_limit.h"

namespace birchlever {
namespace {

constexpr auto large_block = 256 * 1024;          // Bytes; allocated and returned on their own from there on.
constexpr auto own_memory_mb = std::int64_t{48};  // Code, caches, idle connections.
constexpr auto memory_for_connections = std::size_t{20U << 20U};  // Of its own memory.
constexpr auto idle_connection_bytes = std::size_t{5U << 10U};    // Coroutine frames, timers, the socket.
constexpr auto least_for_callers = std::size_t{8U << 20U};
constexpr auto bytes_per_mb = std::size_t{1U << 20U};

}  // namespace

auto return_large_blocks() -> void {
  mallopt(M_MMAP_THRESHOLD, large_block);  // Setting it also stops the library from raising it.
  mallopt(M_TRIM_THRESHOLD, large_block);
}

auto memory_for_callers(std::int64_t memory_mb) -> std::size_t {
  if (memory_mb == 0) {
    return memory_budget::standard_limit;
  }
  auto available = static_cast<std::size_t>(std::max<std::int64_t>(memory_mb - own_memory_mb, 0));
  return std::max(available * bytes_per_mb / 2, least_for_callers);
}

auto connections_within_memory(std::int64_t memory_mb) -> std::size_t {
  return memory_mb == 0 ? connection_limit::unlimited : memory_for_connections / idle_connection_bytes;
}

auto resident_bytes() -> std::size_t {
  auto file = std::ifstream{"/proc/self/statm"};
  auto total_pages = std::size_t{0};
  auto resident_pages = std::size_t{0};
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

auto open_descriptors() -> std::size_t {
  auto code = std::error_code{};
  auto entries = std::filesystem::directory_iterator{"/proc/self/fd", code};
  auto count = std::size_t{0};
  for (; !code && entries != std::filesystem::directory_iterator{}; entries.increment(code)) {
    ++count;
  }
  return count;
}

}  // namespace birchlever

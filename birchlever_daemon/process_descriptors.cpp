#include "birchlever_daemon/process_descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto kept_descriptors = std::size_t{300};  // The platform keeps 200 of them for files.
constexpr auto kept_share = std::size_t{4};          // At most one in four, where there are few.
constexpr auto per_request = std::size_t{2};         // The caller's connection and the upstream's.
constexpr auto standard_descriptors = 3;

}  // namespace

auto reserve_standard_descriptors() -> void {
  auto opened = 0;
  do {
    opened = open("/dev/null", O_RDWR);  // Gets the lowest free number.
  } while (opened >= 0 && opened < standard_descriptors);
  if (opened >= standard_descriptors) {
    close(opened);
  }
}

auto raise_descriptor_limit(std::int64_t most) -> std::size_t {
  auto limit = rlimit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return static_cast<std::size_t>(most);
  }
  auto wanted = most == 0 ? limit.rlim_max : std::min(limit.rlim_max, static_cast<rlim_t>(most));
  if (limit.rlim_cur < wanted) {
    auto raised = rlimit{wanted, limit.rlim_max};
    limit.rlim_cur = setrlimit(RLIMIT_NOFILE, &raised) == 0 ? wanted : limit.rlim_cur;
  }
  return std::min(limit.rlim_cur, wanted);
}

auto connections_for_callers(std::size_t descriptors) -> std::size_t {
  auto kept = std::min(kept_descriptors, descriptors / kept_share);
  return (descriptors - kept) / per_request;
}

}  // namespace birchlever

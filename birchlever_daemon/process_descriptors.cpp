#include "birchlever_daemon/process_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

namespace birchlever {
namespace {

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

}  // namespace birchlever

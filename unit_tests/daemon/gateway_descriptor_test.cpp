/// Starts gateways without standard descriptors.
#include <catch2/catch.hpp>
#include <filesystem>

#include "unit_tests/daemon/gateway_process.h"

namespace birchlever::test {
namespace {

/// Runs a program after a shell command.
auto after(const std::string& command) -> std::vector<std::string> {
  return {"/bin/sh", "-c", command + "; exec \"$@\"", "sh"};
}

}  // namespace

// Guards against sockets with the numbers of standard output and error: the log would be written into them.
TEST_CASE("a gateway that starts without standard descriptors opens none of its own in their place") {
  auto gateway = gateway_process{};
  gateway.start(after("exec 0<&- 1>&- 2>&-"));
  REQUIRE(gateway.await_open());
  for (auto number : {0, 1, 2}) {
    auto link = "/proc/" + std::to_string(gateway.process().pid()) + "/fd/" + std::to_string(number);
    CHECK(std::filesystem::read_symlink(link).string() == "/dev/null");
  }
  CHECK_FALSE(gateway.process().unasked_end());
}

}  // namespace birchlever::test

/// Tests that the log sink does not block on a slow reader and reports dropped lines.
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "birchlever/telemetry/log_sink.h"

namespace birchlever {
namespace {

auto read_all(int descriptor) -> std::string {
  auto buffer = std::array<char, 1U << 17U>{};
  auto got = ::read(descriptor, buffer.data(), buffer.size());
  return got > 0 ? std::string{buffer.data(), static_cast<std::size_t>(got)} : std::string{};
}

}  // namespace

TEST_CASE("lines for a full pipe are buffered, then dropped and counted") {
  auto ends = std::array<int, 2>{};
  REQUIRE(::pipe(ends.data()) == 0);
  auto sink = log_sink{ends[1], 1000};
  auto line = std::string(99, 'x');
  for (auto number = 0; number < 2000; ++number) {
    sink.write(line);  // A pipe holds 64 KiB; a blocking write would hang here.
  }
  REQUIRE(sink.dropped() > 1000);
  read_all(ends[0]);
  sink.write("after");
  sink.write("last");
  auto text = read_all(ends[0]);
  REQUIRE(text.find("log_lines_dropped") != std::string::npos);
  REQUIRE(text.find(std::to_string(sink.dropped())) != std::string::npos);
  REQUIRE(text.find("last\n") != std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}

// Guards against lines that are lost without a count while their file is full.
TEST_CASE("lines that can't be written are dropped and counted") {
  auto full = ::open("/dev/full", O_WRONLY);
  REQUIRE(full >= 0);
  auto sink = log_sink{full, 1000};
  for (auto number = 0; number < 3; ++number) {
    sink.write("line");
  }
  CHECK(sink.dropped() == 3);
  ::close(full);
}

}  // namespace birchlever

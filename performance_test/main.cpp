/// Performance tests: `policies` (deterministic, with regression bounds), `decisions`, `takeover`, `control`,
/// `latency`, `gateway`, `fleet`, `allotments`.
#include <gflags/gflags.h>

#include <iostream>

#include "performance_test/performance_tests.h"

DEFINE_string(binaries, "out/release", "folder of the daemon and the stand-ins, for control and latency");
DEFINE_string(tables, "", "folder into which tables and pictures are written, beside being printed");
DEFINE_bool(check, false, "fail when a regression bound is broken");
DEFINE_int32(most_daemons, 48, "control: the largest fleet measured");

DEFINE_string(pattern, "", "fleet: the only pattern that is played");
DEFINE_string(engine_policy, "", "fleet: instead of the gateway's own");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto what = argc > 1 ? std::string{argv[1]} : std::string{};
  auto settings = birchlever::performance::test_settings{
      FLAGS_binaries, FLAGS_tables, FLAGS_check, FLAGS_most_daemons, FLAGS_pattern, FLAGS_engine_policy};
  for (const auto& test : birchlever::performance::all_tests()) {
    if (test.name_ == what) {
      return test.run_(settings) ? 0 : 1;
    }
  }
  std::cerr << "usage: performance_test policies|decisions|takeover|control|latency|gateway|fleet|allotments "
               "[flags]\n";
  return 2;
}

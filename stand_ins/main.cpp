/// One program for all stand-ins: `stand_ins platform|engine|service`.
#include <gflags/gflags.h>

#include <iostream>

#include "birchlever/core/daemon_settings.h"
#include "stand_ins/engine_stand_in.h"
#include "stand_ins/platform_stand_in.h"
#include "stand_ins/service_stand_in.h"

DEFINE_string(host, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 9000, "port to listen on");
DEFINE_string(id, "stand-in", "identity on the VM list");
DEFINE_double(store_ms, 1, "platform: time of one store operation");
DEFINE_double(writes_per_second, 600, "platform: writes allowed");
DEFINE_double(reads_per_second, 2000, "platform: reads allowed");
DEFINE_double(list_lag_ms, 300, "platform: lag of the VM list");
DEFINE_int32(capacity, 8, "engine: streams at once");
DEFINE_double(token_ms, 2, "engine: time per token");
DEFINE_int64(cache_tokens, 200000, "engine: prefix tokens that fit");
DEFINE_double(load_lag_ms, 200, "engine: lag of its load reports");
DEFINE_bool(checks_fence, true, "engine: refuses old fencing numbers");
DEFINE_string(models, "standard", "engine: models, comma separated");
DEFINE_double(work_ms, 3, "service: time of one call");
DEFINE_bool(knows_keys, true, "service: tells by key what it executed");

namespace {

auto run_platform() -> bool {
  auto settings = birchlever::stand_ins::platform_settings{};
  settings.store_ms_ = FLAGS_store_ms;
  settings.writes_per_second_ = FLAGS_writes_per_second;
  settings.reads_per_second_ = FLAGS_reads_per_second;
  settings.list_lag_ms_ = FLAGS_list_lag_ms;
  return birchlever::stand_ins::platform_stand_in{settings}.serve(FLAGS_host, FLAGS_port);
}

auto run_engine() -> bool {
  auto settings = birchlever::stand_ins::engine_settings{};
  settings.id_ = FLAGS_id;
  settings.capacity_ = FLAGS_capacity;
  settings.token_ms_ = FLAGS_token_ms;
  settings.cache_tokens_ = FLAGS_cache_tokens;
  settings.load_lag_ms_ = FLAGS_load_lag_ms;
  settings.checks_fence_ = FLAGS_checks_fence;
  settings.models_ = birchlever::split_list(FLAGS_models);
  return birchlever::stand_ins::engine_stand_in{settings}.serve(FLAGS_host, FLAGS_port);
}

auto run_service() -> bool {
  auto settings = birchlever::stand_ins::service_settings{};
  settings.id_ = FLAGS_id;
  settings.work_ms_ = FLAGS_work_ms;
  settings.knows_keys_ = FLAGS_knows_keys;
  return birchlever::stand_ins::service_stand_in{settings}.serve(FLAGS_host, FLAGS_port);
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto role = argc > 1 ? std::string{argv[1]} : std::string{};
  auto served = role == "platform"  ? run_platform()
                : role == "engine"  ? run_engine()
                : role == "service" ? run_service()
                                    : false;
  if (!served) {
    std::cerr << "usage: stand_ins platform|engine|service --host=... --port=...\n";
  }
  return served ? 0 : 2;
}

/// Stands in for a plain service or tool: it records every execution and is the judge of "at most once".
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "stand_ins/stand_in_server.h"

namespace birchlever::stand_ins {

/// How the service behaves when nothing is broken.
struct service_settings {
  std::string id_;
  double work_ms_ = 3;
  bool knows_keys_ = true;  ///< Tells by idempotency key whether a call was executed.
};

/// Faults: refuse, hang (after executing), slow_ms, drop (executes, then closes without an answer; counted).
class service_stand_in {
 public:
  explicit service_stand_in(const service_settings& settings);

  auto serve(const std::string& host, int port) -> bool { return http_.serve(host, port); }

 private:
  struct execution {
    std::string key_;
    std::string session_;
    int call_ = 0;
    std::string path_;
    std::string repeatable_;
    std::int64_t at_us_ = 0;
  };

  auto execute(const httplib::Request& request, httplib::Response& response) -> void;

  service_settings settings_;
  stand_in_server http_;
  std::mutex mutex_;
  std::deque<execution> log_;
  std::map<std::string, std::string> answers_;
};

}  // namespace birchlever::stand_ins

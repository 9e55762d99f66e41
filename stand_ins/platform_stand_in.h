/// Stands in for the platform: table service, object store and VM list.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "birchlever/storage/memory_table_store.h"
#include "stand_ins/stand_in_server.h"

namespace birchlever::stand_ins {

/// How the platform behaves when nothing is broken.
struct platform_settings {
  double store_ms_ = 1;             ///< Time of one operation.
  double writes_per_second_ = 600;  ///< More are refused with 429.
  double reads_per_second_ = 2000;
  double list_lag_ms_ = 300;  ///< The VM list shows changes so late.
};

/// Faults: down, slow_ms, lose_answers (so many writes take effect unanswered), flap_ms (down and up in
/// turn), list_down. GET /counts gives the operations counted.
class platform_stand_in {
 public:
  explicit platform_stand_in(const platform_settings& settings);

  auto serve(const std::string& host, int port) -> bool { return http_.serve(host, port); }

 private:
  using clock = std::chrono::steady_clock;

  /// Refills evenly and allows a second's worth at once.
  struct allowance {
    double per_second_ = 0;
    double left_ = 0;
    clock::time_point at_ = clock::now();

    auto take() -> bool;
  };

  struct list_change {
    clock::time_point visible_at_;
    nlohmann::json entry_;
    bool removes_ = false;
  };

  auto table_routes() -> void;
  auto object_routes() -> void;
  auto list_routes() -> void;
  auto admit(bool writes, httplib::Response& response) -> bool;
  auto lose_answer(httplib::Response& response) -> void;
  auto visible_list() -> nlohmann::json;

  platform_settings settings_;
  stand_in_server http_;
  memory_table_store store_;
  std::mutex mutex_;
  allowance writes_;
  allowance reads_;
  std::atomic<std::int64_t> write_count_{0};
  std::atomic<std::int64_t> read_count_{0};
  std::atomic<std::int64_t> refused_count_{0};
  std::atomic<std::int64_t> list_count_{0};
  std::vector<list_change> changes_;
};

}  // namespace birchlever::stand_ins

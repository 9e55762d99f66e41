/// Stands in for a model engine: continuous batching, a limited prefix cache, priorities, fencing, lagged
/// load.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/stand_in_server.h"

namespace birchlever::stand_ins {

/// How the engine behaves when nothing is broken.
struct engine_settings {
  std::string id_;
  int capacity_ = 8;            ///< Streams that run at once.
  double token_ms_ = 2;         ///< Time per token of one stream.
  double prefill_per_ms_ = 64;  ///< Prompt tokens taken in per millisecond.
  std::int64_t cache_tokens_ = 200000;
  double load_lag_ms_ = 200;
  bool checks_fence_ = true;
  std::vector<std::string> models_ = {"standard"};
};

/// Faults: refuse, hang, slow (factor), cut_after (tokens, then the stream breaks off; counted by cuts).
/// GET /log lists every call that was taken in, in order of arrival.
class engine_stand_in {
 public:
  explicit engine_stand_in(const engine_settings& settings);

  auto serve(const std::string& host, int port) -> bool { return http_.serve(host, port); }

 private:
  /// One call as it truly ran.
  struct call_record {
    std::string session_;
    std::string key_;
    int call_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t prompt_tokens_ = 0;
    std::int64_t cached_ = 0;
    std::int64_t tokens_ = 0;
    std::int64_t at_us_ = 0;  ///< Arrival on the machine's monotonic clock.
    std::string state_ = "running";
  };

  /// What a session holds in memory.
  struct held_session {
    std::string prompt_;
    std::int64_t tokens_ = 0;
    std::uint64_t used_ = 0;
  };

  struct waiting_turn {
    int priority_ = 0;
    std::uint64_t arrival_ = 0;

    auto operator<(const waiting_turn& other) const -> bool {
      return std::tie(priority_, arrival_) < std::tie(other.priority_, other.arrival_);
    }
  };

  auto routes() -> void;
  auto session_routes() -> void;
  auto complete(const httplib::Request& request, httplib::Response& response) -> void;
  auto generate(std::size_t index, const nlohmann::json& body, const std::string& prompt, int priority,
                httplib::DataSink& sink) -> bool;
  auto take_turn(int priority) -> void;
  auto end_turn() -> void;
  auto cached_tokens(const std::string& session, const std::string& prompt) -> std::int64_t;
  auto hold(const std::string& session, const std::string& text) -> void;
  auto finish(std::size_t index, const std::string& state, std::int64_t tokens) -> void;
  auto load_report() -> nlohmann::json;
  auto order(const nlohmann::json& body, httplib::Response& response) -> void;

  engine_settings settings_;
  stand_in_server http_;
  std::mutex mutex_;
  std::condition_variable turn_changed_;
  std::set<waiting_turn> queue_;
  int running_ = 0;
  std::uint64_t arrivals_ = 0;
  std::deque<call_record> log_;
  std::map<std::string, std::int64_t> fences_;  ///< Highest per session.
  std::map<std::string, held_session> sessions_;
  std::set<std::string> released_;
  std::int64_t order_fence_ = 0;
  std::string role_ = "both";
  std::deque<std::pair<std::int64_t, nlohmann::json>> reports_;  ///< By time, for the lag.
};

}  // namespace birchlever::stand_ins

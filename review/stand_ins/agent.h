/// A model engine and the client of an agent program's turns.
#pragma once

#include "deployment.h"

namespace review {

/// A model engine: streams as many events as the turn may have, at an even pace.
class engine {
 public:
  engine(store& platform, const std::string& id, int slots, std::int64_t event_gap_ms, record& out);

  /// True if a request with this id was run.
  auto has_run(const std::string& request_id) -> bool;

 private:
  auto handle(const message& request, connection& caller) -> bool;

  record* record_;
  std::int64_t event_gap_ms_;
  std::mutex lock_;
  std::map<std::string, int> ran_;
  server server_;
};

/// Tokens in each event of a stream, as op/config tells them (chunk_tokens).
inline constexpr auto tokens_per_event = 8;

/// op/config's entry of the engines' service.
[[nodiscard]] auto engine_service(const std::string& name) -> nlohmann::json;

/// A turn to send.
struct turn {
  std::string id_;
  std::string program_;
  std::string session_;
  std::string previous_;  ///< Empty at the start of a line.
  std::string input_;
  std::int64_t budget_ = 0;  ///< 0: none.
  int max_tokens_ = 0;
};

/// What became of a turn.
struct turn_result {
  int status_ = 0;             ///< 0: no answer.
  bool whole_ = false;         ///< The stream came to its end.
  std::int64_t tokens_ = 0;    ///< Handed to the client.
  std::int64_t retry_ms_ = 0;  ///< Retry-After.
};

/// Sends a turn on a channel of its own and reads the answer; gives it up after two seconds without a byte.
/// Calls `received` with the tokens handed so far after each event.
auto send_turn(const std::string& front, const turn& sent, record& out,
               const std::function<void(std::int64_t)>& received = nullptr) -> turn_result;

}  // namespace review

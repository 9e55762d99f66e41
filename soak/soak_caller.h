/// Callers of the soak: programs of turns and tools, sent as the platform's clients send them.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "soak/soak_fleet.h"

namespace birchlever::soak {

/// What a caller heard of one request.
struct heard_answer {
  int status_ = 0;  ///< 0: no answer came.
  bool whole_ = false;
  bool proven_ = false;
  std::string body_;
  int gateway_ = 0;
  milliseconds began_at_ = 0;
};

/// A turn that was answered whole, so that programs may go on from it.
struct kept_turn {
  sender owner_;
  std::string program_;
  std::string turn_;
  std::string chain_;  ///< All inputs and outputs up to and with this turn.
};

/// Tells whether no unplanned fault was there since a moment, less the time after which bounds hold again.
using calm_function = std::function<bool(milliseconds since)>;

/// For the soak's one loop. Outlives its coroutines.
class soak_callers {
 public:
  soak_callers(event_loop& loop, const soak_settings& settings, soak_fleet& fleet, soak_ledger& ledger,
               calm_function calm);

  /// Runs one program after the other until stopped.
  auto run_programs(int number) -> task<>;

  /// Sends with spare keys, also with those that were taken away, and many times what the hot account may.
  auto run_spare_keys() -> task<>;
  auto run_hot_account() -> task<>;

  /// Programs begin no further turn.
  auto stop() -> void { stopped_ = true; }

  /// Callers that still run.
  [[nodiscard]] auto running() const -> int { return running_; }

  /// Goes on from a turn, trying for `limit` ms. True when a whole answer came.
  auto go_on_from(kept_turn from, milliseconds limit) -> task<bool>;

  /// Asks one gateway for a path of the plain service.
  auto ask_plain(int gateway, std::string path) -> task<heard_answer>;

  /// The newest whole turn of each program, in the order of their ends.
  [[nodiscard]] auto kept() const -> const std::vector<kept_turn>& { return kept_; }

 private:
  /// A program's spending as its caller knows it, in tokens.
  struct spending {
    std::int64_t budget_ = 0;
    std::int64_t delivered_ = 0;
    std::int64_t unclear_ = 0;  ///< The most of tries whose end is not known.
  };

  enum class turn_result { whole, refused_budget, failed };

  auto new_id(const char* kind) -> std::string;
  /// Returns the sender of a caller's requests.
  [[nodiscard]] auto owner_of(int number) const -> sender;
  auto draw(int most) -> int { return std::uniform_int_distribution<int>{0, most}(random_); }
  auto ask(int gateway, http_request request) -> task<heard_answer>;
  auto run_brief_turn(const sender& owner, const std::string& program, spending& money) -> task<turn_result>;
  auto run_brief_program(sender owner, std::string program) -> task<>;
  auto run_program(sender owner, std::string program) -> task<>;
  auto ask_as_stranger(kept_turn line) -> task<>;
  auto send_tool(sender owner) -> task<>;
  /// Returns the bytes by which a turn's input is longer than usual.
  auto padding_of_turn() -> std::size_t;
  /// Returns the body of a request that is not kept, which is long in some runs.
  auto body_of(std::string text) -> std::string;
  auto run_turn(kept_turn& line, spending& money, milliseconds give_up_at) -> task<turn_result>;
  auto judge_turn(const heard_answer& heard, const std::string& id, const kept_turn& line, spending& money)
      -> void;
  auto judge_error(const heard_answer& heard, const std::string& id) -> void;
  auto run_tool(sender owner, std::string program) -> task<>;

  event_loop* loop_;
  soak_settings settings_;
  soak_fleet* fleet_;
  soak_ledger* ledger_;
  calm_function calm_;
  std::mt19937_64 random_;
  steady_clock clock_;
  std::vector<kept_turn> kept_;
  int made_ids_ = 0;
  int running_ = 0;
  bool stopped_ = false;
};

}  // namespace birchlever::soak

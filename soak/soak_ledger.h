/// What callers and upstreams saw, and the promises that are checked on it while the soak runs.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever::soak {

/// A promise of the system.
enum class promise {
  at_most_once,
  refusal_is_true,
  answer_is_whole,
  chain_is_exact,
  budget_holds,
  turn_is_kept,
  leaving_gets_nothing,
  change_in_force,
  planned_stop_cuts_nothing,
  accounts_are_apart,
  revoked_key_stops,
  allotment_holds,
  crashes_are_bounded,
  memory_holds,
  process_runs_on,  ///< No process ends unless it was asked to.
};

/// Who sends a request; empty where it does not matter.
struct sender {
  std::string account_;
  std::string key_;
};

/// The stable name of a promise.
[[nodiscard]] auto name_of(promise broken) -> const char*;

/// For the soak's one thread.
class soak_ledger {
 public:
  explicit soak_ledger(std::shared_ptr<const clock_interface> clock = std::make_shared<steady_clock>())
      : clock_{std::move(clock)} {}

  /// A caller is about to send a request; `prompt` is the body that the upstream must get.
  auto sent(const std::string& request, const std::string& prompt, bool repeatable, const sender& from = {})
      -> void;

  /// An upstream begins to run a request with a body, for the account that it was told.
  auto ran(const std::string& request, const std::string& body, const std::string& upstream,
           const std::string& account = {}) -> void;

  /// Likewise for an upstream that responds before it has read the body.
  auto ran_unread(const std::string& request, const std::string& upstream, const std::string& account)
      -> void;

  /// The store acknowledged that a key was taken away; `bound` ms later nothing that is sent with it may run.
  auto revoked(const std::string& key, milliseconds bound) -> void;

  /// Checks that no span of `window` ms holds more requests of an account that were sent and ran in it.
  auto check_allotment(const std::string& account, milliseconds window, int most) -> void;

  /// An upstream ended because it ran a piece of work; at most three may.
  auto ended_under(const std::string& work) -> void;

  /// An upstream made an answer, or the part of one that it sent.
  auto answered(const std::string& request, const std::string& bytes, bool whole) -> void;

  /// A caller got a success; `whole` when it came to its end.
  auto got(const std::string& request, const std::string& bytes, bool whole, bool proven) -> void;

  /// A caller got an error response that came to its end.
  auto got_error(const std::string& request, const std::string& bytes) -> void;

  /// A caller was told that the request did not run.
  auto refused(const std::string& request) -> void;

  /// Notes a broken promise.
  auto broken(promise which, const std::string& detail) -> void;

  /// Checks what can only be said at the end: no refused request ran, also not later.
  auto check_refusals() -> void;

  [[nodiscard]] auto faults() const -> const std::vector<std::string>& { return faults_; }
  [[nodiscard]] auto runs() const -> std::size_t { return runs_.size(); }
  [[nodiscard]] auto ended_upstreams() const -> int;
  [[nodiscard]] auto whole_answers() const -> int { return whole_answers_; }
  [[nodiscard]] auto refusals() const -> std::size_t { return refused_.size(); }

 private:
  struct request_state {
    std::string prompt_;
    bool repeatable_ = false;
    sender from_;
    milliseconds sent_at_ = 0;
    std::optional<milliseconds> ran_at_;
  };

  auto check_sender(const std::string& request, const request_state& state, const std::string& account)
      -> void;

  /// What an upstream sent for a request.
  struct made_answer {
    std::string bytes_;
    bool whole_ = false;
  };

  std::shared_ptr<const clock_interface> clock_;
  std::map<std::string, milliseconds> stops_at_;  ///< By key that was taken away.
  std::map<std::string, request_state> sent_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> ended_under_;
  std::map<std::string, std::vector<made_answer>> answers_;
  std::set<std::string> refused_;
  std::vector<std::string> faults_;
  int whole_answers_ = 0;
};

}  // namespace birchlever::soak

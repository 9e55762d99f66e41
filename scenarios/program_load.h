/// Callers: programs of dependent calls with tools and sub-agents, and what each caller saw.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "scenarios/test_fleet.h"

namespace birchlever::scenarios {

/// What a caller saw of one call.
struct seen_call {
  std::string account_;
  std::string program_;
  int number_ = 0;
  bool tool_ = false;
  std::string path_;      ///< Of a tool call.
  std::string expected_;  ///< The text the engine must have given.
  std::string answer_;
  std::string outcome_;        ///< "answered", "outcome_unknown", "not_run" or "gave_up".
  bool only_not_run_ = false;  ///< Every answer to this very request said not_run.
  std::string last_;           ///< Why the newest attempt gave no answer.
  int cuts_ = 0;               ///< Answers that broke off or never came.
  std::string cut_reason_;     ///< What the caller saw of the newest of them.
  std::int64_t finished_us_ = 0;
  std::int64_t longest_us_ = 0;  ///< Longest wait for one word about a tool call.
};

/// What the load is made of.
struct load_plan {
  int programs_ = 6;
  int calls_ = 6;
  std::int64_t budget_ = 2000;
  std::uint64_t seed_ = 1;
  int answer_tokens_ = 12;
  int patience_s_ = 25;  ///< The whole load; a fleet that lost its way ends too.
  bool end_ = true;      ///< The last call ends the program.
};

/// Runs callers on threads of their own until each program ended or was given up.
class program_load {
 public:
  explicit program_load(test_fleet& fleet) : fleet_{fleet} {}
  ~program_load() { wait(); }

  auto run(const load_plan& plan) -> void;
  auto wait() -> void;

  /// Calls finished so far.
  [[nodiscard]] auto finished() const -> int { return finished_; }
  [[nodiscard]] auto seen() const -> std::vector<seen_call>;
  [[nodiscard]] auto plan() const -> const load_plan& { return plan_; }

  /// Program names in order, with their accounts.
  [[nodiscard]] auto programs() const -> std::vector<std::pair<std::string, std::string>>;

 private:
  auto run_program(int index, std::uint64_t seed) -> void;
  auto chat(const std::string& account, const std::string& program, int number, int parent, bool last,
            std::uint64_t seed) -> void;
  auto tool(const std::string& account, const std::string& program, int number, std::uint64_t seed) -> void;
  auto note(seen_call call) -> void;

  test_fleet& fleet_;
  load_plan plan_;
  std::int64_t give_up_us_ = 0;
  std::vector<std::thread> threads_;
  mutable std::mutex mutex_;
  std::vector<seen_call> seen_;
  std::atomic<int> finished_{0};
};

/// The text an engine stand-in gives to a prompt.
[[nodiscard]] auto expected_answer(const std::string& prompt, int tokens) -> std::string;

}  // namespace birchlever::scenarios

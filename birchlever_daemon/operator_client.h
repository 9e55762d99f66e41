/// The operators' client: one statement, or a prompt with history and completion.
#pragma once

#include <string>

namespace birchlever {

/// Talks to any daemon over HTTP.
class operator_client {
 public:
  operator_client(std::string daemon, std::string key, std::string format, std::string plot, std::string csv);

  /// Runs one statement and prints its answer. False when it failed.
  auto run(const std::string& statement) -> bool;

  /// Reads statements until the end of input. False when the daemon could not be reached at all.
  auto prompt() -> bool;

 private:
  auto print(const std::string& body) const -> void;

  std::string daemon_;
  std::string key_;
  std::string format_;
  std::string plot_;
  std::string csv_;
};

}  // namespace birchlever

/// Other daemons as holders of budgets that they drew in advance.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/http/task.h"

namespace birchlever {

/// What daemons handed over of a program's budget.
struct handed_tokens {
  std::int64_t tokens_ = 0;
  std::vector<std::string> moved_to_;  ///< Daemons that got tokens of the program from those asked.
  bool unaccounted_ = false;           ///< Some holder was not reached, or was started anew since it drew.
};

/// Supplied by the daemon; program_store asks it when it is short of a program's budget.
class budget_peers {
 public:
  virtual ~budget_peers() = default;

  /// Asks each of the holders for so many tokens, or whoever is near when no holder is known.
  virtual auto ask(std::string program_key, std::vector<std::string> holders, std::int64_t tokens)
      -> task<handed_tokens> = 0;

  /// Asks a daemon for a reservation that it holds for the program's next turn. True when it gave it away:
  /// then it is ours, and nobody else will use it.
  virtual auto take_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> = 0;

  /// Asks the daemon that may let this program go beyond its budget for one turn's most, which it gives a
  /// program once. Yields 0 when it does not, or is not known.
  virtual auto ask_allowance(std::string program_key, std::int64_t tokens) -> task<std::int64_t> = 0;
};

}  // namespace birchlever

/// Which daemon grants an account's requests: the first that answers in the account's own order of all
/// daemons. Every daemon computes the same order from the same list, so no election is held and nothing is
/// stored.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// How daemons that do not answer are passed over. Times in ms.
struct grantor_order_settings {
  std::string vm_;                      ///< This daemon.
  milliseconds first_pass_over_ = 500;  ///< After its first silence; doubled with each further one. A restart
                                        ///< takes a second.
  milliseconds longest_pass_over_ = 8000;
  std::size_t most_candidates_ = 2;  ///< Daemons that are asked for one request.
  std::size_t most_grantors_ = 5;    ///< Daemons that may ever grant for one account: few, so that a daemon
                                     ///< behind a cut seldom takes itself for one; of five, one mostly lives
                                     ///< when half are lost.
};

/// A pure function of the list, of answers and of times.
class grantor_order {
 public:
  explicit grantor_order(grantor_order_settings settings) : settings_{std::move(settings)} {}

  /// All daemons listed, this one excluded.
  auto set_members(std::vector<std::string> vms) -> void { members_ = std::move(vms); }

  /// Daemons listed, this one included.
  [[nodiscard]] auto size() const -> std::size_t { return members_.size() + 1; }

  /// Whom to ask, best first, without those that are passed over now. May be empty.
  [[nodiscard]] auto candidates(const std::string& account, milliseconds now) const
      -> std::vector<std::string>;

  /// The first of the order, whether it answers or not.
  [[nodiscard]] auto first(const std::string& account) const -> std::string;

  /// It was asked and did not answer.
  auto note_silent(const std::string& vm, milliseconds now) -> void;

  /// Something was heard of it.
  auto note_heard(const std::string& vm) -> void { silent_.erase(vm); }

 private:
  struct silence {
    int times_ = 0;
    milliseconds until_ = 0;
  };

  grantor_order_settings settings_;
  std::vector<std::string> members_;
  std::unordered_map<std::string, silence> silent_;
};

}  // namespace birchlever

/// Programs of one client account over a fleet of daemons that keep its allotment together, on an event
/// clock. The daemons decide with the product's own grantor_order, allotment_bucket, equal_shares and
/// reachable_share; ways, losses, cuts and kills are the model's.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "birchlever/accounts/client_account.h"

namespace birchlever::model {

/// How daemons keep the allotment.
enum class allotment_way {
  equal,      ///< Equal shares, no message.
  central,    ///< One daemon grants, others ask it; programs that can't be carried through do not begin.
  scattered,  ///< Likewise, but every request is judged alone: the baseline for what is refused.
};

/// The load and what goes wrong. Times in ms.
struct allotment_load {
  std::string stands_for_;
  int daemons_ = 67;
  account_allotment allotment_{55, 55};  ///< Of the median account of the shifted deployment.
  double usual_share_ = 0.625;    ///< Of its rate that an account usually asks: limits lie 1.6 times above.
  double program_requests_ = 17;  ///< At the mean: 4 and 11 turns, a tool or two after each.
  double request_gap_ms_ = 180;   ///< Between two requests of a program, at the mean.
  double duration_ms_ = 34000;
  double hot_from_ms_ = 0;  ///< Then the account sends so many times its usual.
  double hot_for_ms_ = 0;
  double hot_factor_ = 1;
  double entry_share_ = 1;  ///< Of the daemons through which its requests come: a data hall's.
  double cut_from_ms_ = 0;  ///< Then a share of the daemons reach no other; callers and upstreams reach them.
  double cut_for_ms_ = 0;
  double cut_share_ = 0;
  double kill_at_ms_ = 0;  ///< Then a share of the daemons lose all they know, and are back after the pause.
  double kill_share_ = 0;
  double kill_pause_ms_ = 1000;
  double lower_at_ms_ = 0;  ///< Then the limit falls to a share of itself.
  double lower_to_ = 1;
  double overdraft_ = 10;      ///< Half of what the shifted deployment tolerates.
  double way_ms_ = 1.5;        ///< One way between daemons.
  double lost_share_ = 0.005;  ///< Of datagrams.
};

/// What became of it.
struct allotment_outcome {
  double most_over_ =
      0;              ///< The fullest window's requests over what the rule allows there; above 1 breaks it.
  int programs_ = 0;  ///< That wanted to begin.
  int completed_ = 0;
  int in_time_ = 0;  ///< Of these, within 2.2 times the duration of one that never waits.
  int spoiled_ = 0;  ///< Begun and then refused for good.
  double owed_ = 0;  ///< Programs that the limit had room for.
  int requests_ = 0;
  int refused_ = 0;        ///< Of these, at the first try.
  double asks_per_s_ = 0;  ///< Datagrams of all daemons, answers included.
};

/// Plays the load with one way; the same seed gives the same outcome.
[[nodiscard]] auto play_allotment(const allotment_load& load, allotment_way way, std::uint64_t seed)
    -> allotment_outcome;

}  // namespace birchlever::model

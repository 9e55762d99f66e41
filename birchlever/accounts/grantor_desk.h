/// All accounts that one daemon grants for, as their first daemon or standing in for it.
#pragma once

#include <string>
#include <unordered_map>

#include "birchlever/accounts/allotment_bucket.h"

namespace birchlever {

/// How a daemon stands in. Times in ms.
struct grantor_desk_settings {
  allotment_bucket_settings buckets_;
  double first_stand_in_share_ = 0.5;  ///< Of the allotment, while it is not known yet whether the silent
                                       ///< daemon is dead or behind a cut and grants there.
  milliseconds unsure_ = 1200;         ///< For so long: then a cut shows in what is heard of the fleet.
  milliseconds break_ = 2000;          ///< After so long without a claim another daemon may have granted.
};

/// A pure function of claims and times.
class grantor_desk {
 public:
  explicit grantor_desk(const grantor_desk_settings& settings = {}) : settings_{settings} {}

  /// Grants or refuses. `share` is the part of the fleet that is reached; `first` says whether this daemon is
  /// the account's first. `granted_alone` requests ran through the asker without any grantor.
  auto claim(const allotment_claim& wanted, double share, bool first, double granted_alone, milliseconds now)
      -> allotment_verdict;

  /// Another daemon granted so many of the account's requests.
  auto debit(const std::string& account, double tokens) -> void;

 private:
  struct counter {
    allotment_bucket bucket_;
    milliseconds since_ = 0;    ///< Of this row of claims.
    milliseconds claimed_ = 0;  ///< The latest.
  };

  grantor_desk_settings settings_;
  std::unordered_map<std::string, counter> counters_;
};

}  // namespace birchlever

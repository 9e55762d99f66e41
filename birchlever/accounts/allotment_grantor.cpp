#include "birchlever/accounts/allotment_grantor.h"

#include <algorithm>

namespace birchlever {

auto allotment_grantor::claim(const allotment_claim& wanted, double share, bool first, double granted_alone,
                              milliseconds now) -> allotment_decision {
  auto [place, added] = counters_.try_emplace(wanted.account_, counter{allotment_bucket{settings_.buckets_}});
  auto& known = place->second;
  if (added || now - known.claimed_ > settings_.idle_reset_) {
    known.since_ = now;
    known.bucket_.reopen(wanted.allotment_, first ? settings_.buckets_.initial_share_ : 0, now);
  }
  known.claimed_ = now;
  known.bucket_.debit(granted_alone);
  auto unsure = !first && now - known.since_ < settings_.partition_detection_;
  auto part = unsure ? std::min(share, settings_.max_new_backup_share_) : share;
  return known.bucket_.claim(wanted, part, now, first);
}

auto allotment_grantor::debit(const std::string& account, double tokens) -> void {
  auto known = counters_.find(account);
  if (known != counters_.end()) {
    known->second.bucket_.debit(tokens);
  }
}

}  // namespace birchlever

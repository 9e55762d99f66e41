#include "birchlever/accounts/allotment_grantor.h"

#include <algorithm>

namespace birchlever {

auto allotment_grantor::claim(const allotment_claim& request, double share, bool primary,
                              double granted_locally, milliseconds now) -> allotment_decision {
  auto [entry, added] =
      accounts_.try_emplace(request.account_, account_state{allotment_bucket{settings_.buckets_}});
  auto& state = entry->second;
  if (added || now - state.last_claim_at_ > settings_.idle_reset_) {
    state.started_at_ = now;
    state.bucket_.restart(request.allotment_, primary ? settings_.buckets_.initial_share_ : 0, now);
  }
  state.last_claim_at_ = now;
  state.bucket_.debit(granted_locally);
  auto may_be_partitioned = !primary && now - state.started_at_ < settings_.partition_detection_;
  auto granted_share = may_be_partitioned ? std::min(share, settings_.max_new_backup_share_) : share;
  return state.bucket_.claim(request, granted_share, now, primary);
}

auto allotment_grantor::debit(const std::string& account, double tokens) -> void {
  auto state = accounts_.find(account);
  if (state != accounts_.end()) {
    state->second.bucket_.debit(tokens);
  }
}

}  // namespace birchlever

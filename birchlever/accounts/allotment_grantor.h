/// Grants allotments of the accounts for which this daemon is the primary or a backup grantor.
#pragma once

#include <string>
#include <unordered_map>

#include "birchlever/accounts/allotment_bucket.h"

namespace birchlever {

/// Settings of allotment_grantor. Times in ms.
struct allotment_grantor_settings {
  allotment_bucket_settings buckets_;
  /// Maximum fraction of the allotment that a new backup grantor grants, since the primary may still be
  /// granting behind a network partition.
  double max_new_backup_share_ = 0.5;
  milliseconds partition_detection_ = 1200;  ///< Duration of that limit; a partition is detected by then.
  milliseconds idle_reset_ = 2000;  ///< Time without claims after which the bucket is restarted, since
                                    ///< another daemon may have granted meanwhile.
};

/// Deterministic: depends only on the claims and the times passed in.
class allotment_grantor {
 public:
  explicit allotment_grantor(const allotment_grantor_settings& settings = {}) : settings_{settings} {}

  /// Grants or refuses a claim. `share` is the reachable fraction of the fleet, `primary` is set if this
  /// daemon is the account's primary grantor, and `granted_locally` is the number of requests that the
  /// requesting daemon forwarded without a grantor.
  auto claim(const allotment_claim& request, double share, bool primary, double granted_locally,
             milliseconds now) -> allotment_decision;

  /// Deducts requests of the account that another daemon granted.
  auto debit(const std::string& account, double tokens) -> void;

 private:
  struct account_state {
    allotment_bucket bucket_;
    milliseconds started_at_ = 0;     ///< Start of the current sequence of claims.
    milliseconds last_claim_at_ = 0;  ///< Time of the latest claim.
  };

  allotment_grantor_settings settings_;
  std::unordered_map<std::string, account_state> accounts_;
};

}  // namespace birchlever

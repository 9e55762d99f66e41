/// Token bucket for the allotment of one account, with admission control per program.
///
/// Above the limit new programs are refused rather than turns of started ones: a program is admitted only if
/// the allotment covers the expected requests of all programs already started. Refusing arbitrary requests
/// would make every program of the account fail.
#pragma once

#include <optional>

#include "birchlever/accounts/allotment_policy.h"

namespace birchlever {

/// Settings of allotment_bucket. Times in ms.
struct allotment_bucket_settings {
  double initial_share_ = 0.25;  ///< Initial fill level of a new bucket, as a fraction of the burst; low
                                 ///< because another daemon may have granted requests before.
  double overdraft_ = 0;  ///< Requests that started programs may send beyond the allotment; deducted from
                          ///< later refills. Lets programs finish that need more than the burst.
  milliseconds max_wait_ = 1000;         ///< Maximum time that a request of a started program is delayed.
  milliseconds min_retry_after_ = 250;   ///< Lower limit of retry_after_.
  milliseconds max_retry_after_ = 5000;  ///< Upper limit of retry_after_.
  double arrival_spread_ = 0.5;          ///< Fraction of the mean program duration over which the requests of
                                         ///< started programs are expected to arrive.
  milliseconds min_program_duration_ = 500;  ///< Lower limit of the program duration used in estimates.
};

/// Deterministic: depends only on the claims and the times passed in.
class allotment_bucket {
 public:
  explicit allotment_bucket(const allotment_bucket_settings& settings = {}) : settings_{settings} {}

  /// Grants or refuses a claim. `share` is the fraction of the allotment that may be granted here, 0 to 1.
  /// Unless `may_overdraw` is set, the overdraft is not available to started programs.
  auto claim(const allotment_claim& request, double share, milliseconds now, bool may_overdraw = true)
      -> allotment_decision;

  /// Restarts the bucket with at most this fraction of the burst, since other daemons may have granted
  /// requests meanwhile.
  auto restart(const account_allotment& allotment, double share, milliseconds now) -> void;

  /// Deducts requests that another daemon granted.
  auto debit(double tokens) -> void { level_ -= tokens; }

  /// Requests that may be granted immediately; negative if delayed requests were granted.
  [[nodiscard]] auto level() const -> double { return level_; }

  /// Requests that started programs are still expected to send.
  [[nodiscard]] auto committed() const -> double { return committed_; }

 private:
  auto refill(const account_allotment& allotment, double share, milliseconds now) -> void;
  auto grant_start(const allotment_claim& request, double rate_per_ms) -> allotment_decision;
  auto grant_request(double rate_per_ms, double overdraft) -> allotment_decision;
  [[nodiscard]] auto refuse(double deficit, double rate_per_ms) const -> allotment_decision;

  allotment_bucket_settings settings_;
  double level_ = 0;
  double committed_ = 0;
  double mean_program_ms_ = 0;  ///< Moving average of the duration of programs started here.
  std::optional<milliseconds> refilled_at_;
};

}  // namespace birchlever

/// One account's allotment where a single daemon grants it: a token bucket, and how many programs fit in it.
///
/// What is refused are programs, not turns: once the programs that were let begin will use up what the
/// allotment holds, no further one may begin, and those that did are carried through. Scattered refusals
/// would spoil every program of an account that is over its limit.
#pragma once

#include <optional>

#include "birchlever/accounts/allotment_policy.h"

namespace birchlever {

/// How a bucket grants. Times in ms.
struct allotment_bucket_settings {
  double first_share_ = 0.25;  ///< Of the burst that a new bucket holds: what was granted before by another
                               ///< daemon is not known. A rule's usual slack is a tenth of five seconds.
  double overdraft_ = 0;  ///< Requests beyond the allotment that begun programs may send at once; they are
                          ///< taken off what comes. Programs of an account whose whole allotment holds less
                          ///< than one program would else all be spoiled.
  milliseconds longest_wait_ =
      1000;  ///< A request of a begun program waits at most so long for its place: less
             ///< than a refusal and a return, and no try of its caller is spent.
  milliseconds least_retry_ = 250;
  milliseconds longest_retry_ = 5000;
  double programs_fill_ = 0.5;  ///< Share of a program's duration over which its later requests are spread at
                                ///< the mean.
  milliseconds least_program_ = 500;
};

/// A pure function of claims and times.
class allotment_bucket {
 public:
  explicit allotment_bucket(const allotment_bucket_settings& settings = {}) : settings_{settings} {}

  /// Grants or refuses a claim. `share` is the part of the allotment that may be granted here, 0 to 1.
  /// Without `may_overdraw` begun programs get no more than the allotment.
  auto claim(const allotment_claim& wanted, double share, milliseconds now, bool may_overdraw = true)
      -> allotment_verdict;

  /// Begins anew with this part of the burst at most: others may have granted meanwhile.
  auto reopen(const account_allotment& allotment, double part, milliseconds now) -> void;

  /// Another daemon granted so many.
  auto debit(double tokens) -> void { level_ -= tokens; }

  /// Requests that may be granted at once; negative when places of the future were granted.
  [[nodiscard]] auto level() const -> double { return level_; }

  /// Requests that programs which were let begin are expected to send yet.
  [[nodiscard]] auto committed() const -> double { return committed_; }

 private:
  auto refill(const account_allotment& allotment, double share, milliseconds now) -> void;
  auto grant_start(const allotment_claim& wanted, double rate_per_ms) -> allotment_verdict;
  auto grant_later(double rate_per_ms, double overdraft) -> allotment_verdict;
  [[nodiscard]] auto refused(double missing, double rate_per_ms) const -> allotment_verdict;

  allotment_bucket_settings settings_;
  double level_ = 0;
  double committed_ = 0;
  double program_ms_ = 0;  ///< Mean duration of programs that began here.
  std::optional<milliseconds> filled_at_;
};

}  // namespace birchlever

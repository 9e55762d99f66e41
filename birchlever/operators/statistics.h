/// What a comparison of samples says, and how sure that is.
#pragma once

#include <cstdint>
#include <vector>

namespace birchlever {

/// A value with its 95 % confidence interval.
struct estimate {
  double value_ = 0;
  double low_ = 0;
  double high_ = 0;
};

/// A quantile of samples; they need not be sorted. Zero without samples.
[[nodiscard]] auto quantile_of(std::vector<double> samples, double share) -> double;

/// The mean with its interval, by Student's t.
[[nodiscard]] auto mean_of(const std::vector<double>& samples) -> estimate;

/// The difference of two means, left minus right, with its interval, by Welch's t.
[[nodiscard]] auto difference_of_means(const std::vector<double>& left, const std::vector<double>& right)
    -> estimate;

/// The mean of paired differences with its interval.
[[nodiscard]] auto paired_difference(const std::vector<double>& left, const std::vector<double>& right)
    -> estimate;

/// A quantile with its interval, by a seeded bootstrap; the same samples give the same interval.
[[nodiscard]] auto bootstrap_quantile(const std::vector<double>& samples, double share) -> estimate;

}  // namespace birchlever

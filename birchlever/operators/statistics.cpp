#include "birchlever/operators/statistics.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>
#include <random>

namespace birchlever {
namespace {

constexpr auto tail = 0.975;
constexpr auto bootstrap_rounds = 400;
constexpr auto bootstrap_seed = std::uint64_t{20261202};

struct moments {
  double count_ = 0;
  double mean_ = 0;
  double variance_ = 0;
};

auto moments_of(const std::vector<double>& samples) -> moments {
  auto count = static_cast<double>(samples.size());
  if (samples.empty()) {
    return {};
  }
  auto mean = std::accumulate(samples.begin(), samples.end(), 0.0) / count;
  auto squares = 0.0;
  for (auto sample : samples) {
    squares += (sample - mean) * (sample - mean);
  }
  return {count, mean, count > 1 ? squares / (count - 1) : 0};
}

auto half_width(double standard_error, double freedom) -> double {
  if (freedom < 1 || standard_error <= 0) {
    return 0;
  }
  return boost::math::quantile(boost::math::students_t{freedom}, tail) * standard_error;
}

auto around(double center, double half) -> estimate {
  return {center, center - half, center + half};
}

}  // namespace

auto quantile_of(std::vector<double> samples, double share) -> double {
  if (samples.empty()) {
    return 0;
  }
  auto place = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1) + 0.5);
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(place), samples.end());
  return samples[place];
}

auto mean_of(const std::vector<double>& samples) -> estimate {
  auto known = moments_of(samples);
  auto error_of_mean = known.count_ > 0 ? std::sqrt(known.variance_ / known.count_) : 0;
  return around(known.mean_, half_width(error_of_mean, known.count_ - 1));
}

auto difference_of_means(const std::vector<double>& left, const std::vector<double>& right) -> estimate {
  auto one = moments_of(left);
  auto other = moments_of(right);
  auto difference = one.mean_ - other.mean_;
  if (one.count_ < 2 || other.count_ < 2) {
    return {difference, -INFINITY, INFINITY};
  }
  auto share_one = one.variance_ / one.count_;
  auto share_other = other.variance_ / other.count_;
  auto total = share_one + share_other;
  auto freedom =
      total <= 0
          ? 1
          : total * total /
                (share_one * share_one / (one.count_ - 1) + share_other * share_other / (other.count_ - 1));
  return around(difference, half_width(std::sqrt(total), freedom));
}

auto paired_difference(const std::vector<double>& left, const std::vector<double>& right) -> estimate {
  auto differences = std::vector<double>{};
  for (auto index = std::size_t{0}; index < std::min(left.size(), right.size()); ++index) {
    differences.push_back(left[index] - right[index]);
  }
  return mean_of(differences);
}

auto bootstrap_quantile(const std::vector<double>& samples, double share) -> estimate {
  if (samples.empty()) {
    return {};
  }
  auto generator = std::mt19937_64{bootstrap_seed};
  auto pick = std::uniform_int_distribution<std::size_t>{0, samples.size() - 1};
  auto quantiles = std::vector<double>{};
  auto resampled = std::vector<double>(samples.size());
  for (auto round = 0; round < bootstrap_rounds; ++round) {
    for (auto& one : resampled) {
      one = samples[pick(generator)];
    }
    quantiles.push_back(quantile_of(resampled, share));
  }
  return {quantile_of(samples, share), quantile_of(quantiles, 1 - tail), quantile_of(quantiles, tail)};
}

}  // namespace birchlever

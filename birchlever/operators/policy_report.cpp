#include "birchlever/operators/policy_report.h"

#include <map>
#include <nlohmann/json.hpp>

#include "birchlever/operators/statistics.h"

namespace birchlever {
namespace {

using nlohmann::json;

struct joined_record {
  std::int64_t programs_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t refusals_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t recomputed_tokens_ = 0;
  std::int64_t moves_ = 0;
  std::int64_t shadow_decisions_ = 0;
  std::int64_t shadow_agreements_ = 0;
  std::vector<double> latencies_;
};

auto join(const json& records) -> std::map<std::string, joined_record> {
  auto joined = std::map<std::string, joined_record>{};
  for (const auto& row : records) {
    auto& one = joined[row.value("policy", "")];
    one.programs_ += row.value("programs", std::int64_t{0});
    one.calls_ += row.value("calls", std::int64_t{0});
    one.refusals_ += row.value("refusals", std::int64_t{0});
    one.prompt_tokens_ += row.value("prompt_tokens", std::int64_t{0});
    one.recomputed_tokens_ += row.value("recomputed_tokens", std::int64_t{0});
    one.moves_ += row.value("moves", std::int64_t{0});
    one.shadow_decisions_ += row.value("shadow_decisions", std::int64_t{0});
    one.shadow_agreements_ += row.value("shadow_agreements", std::int64_t{0});
    for (const auto& sample : row.value("latencies_ms", std::vector<double>{})) {
      one.latencies_.push_back(sample);
    }
  }
  return joined;
}

auto wasted_share(const joined_record& one) -> double {
  return one.prompt_tokens_ == 0
             ? 0
             : static_cast<double>(one.recomputed_tokens_) / static_cast<double>(one.prompt_tokens_);
}

auto row_of(const std::string& name, const joined_record& one) -> json {
  auto mean = mean_of(one.latencies_);
  auto p95 = bootstrap_quantile(one.latencies_, 0.95);
  return {{"policy", name},
          {"programs", one.programs_},
          {"calls", one.calls_},
          {"mean_ms", mean.value_},
          {"mean_low_ms", mean.low_},
          {"mean_high_ms", mean.high_},
          {"p50_ms", quantile_of(one.latencies_, 0.5)},
          {"p95_ms", p95.value_},
          {"p95_low_ms", p95.low_},
          {"p95_high_ms", p95.high_},
          {"p99_ms", quantile_of(one.latencies_, 0.99)},
          {"recomputed_tokens", one.recomputed_tokens_},
          {"recomputed_share", wasted_share(one)},
          {"moves", one.moves_},
          {"refusals", one.refusals_},
          {"shadow_decisions", one.shadow_decisions_},
          {"shadow_agreements", one.shadow_agreements_}};
}

auto verdict_of(const std::string& left_name, const joined_record& left, const std::string& right_name,
                const joined_record& right) -> json {
  auto difference = difference_of_means(left.latencies_, right.latencies_);
  auto sure = difference.low_ > 0 || difference.high_ < 0;
  auto faster = difference.value_ < 0 ? left_name : right_name;
  auto less_waste = wasted_share(left) <= wasted_share(right) ? left_name : right_name;
  auto finite = left.latencies_.size() > 1 && right.latencies_.size() > 1;
  return {{"left", left_name},
          {"right", right_name},
          {"mean_difference_ms", difference.value_},
          {"low_ms", finite ? json(difference.low_) : json()},
          {"high_ms", finite ? json(difference.high_) : json()},
          {"faster", sure && finite ? json(faster) : json("not sure")},
          {"confidence", "95 %"},
          {"less_recomputed", less_waste}};
}

}  // namespace

auto policy_report(const json& records, const std::vector<std::string>& names) -> result<std::string> {
  auto joined = join(records);
  auto rows = json::array();
  auto verdicts = json::array();
  for (const auto& name : names) {
    if (joined.count(name) == 0) {
      return error{error_code::invalid_command, "no program ran under policy " + name + " yet"};
    }
    rows.push_back(row_of(name, joined[name]));
    for (const auto& other : names) {
      if (name < other && joined.count(other) != 0) {
        verdicts.push_back(verdict_of(name, joined[name], other, joined[other]));
      }
    }
  }
  return json{{"rows", std::move(rows)}, {"verdicts", std::move(verdicts)}}.dump();
}

}  // namespace birchlever

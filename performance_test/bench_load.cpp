#include "performance_test/bench_load.h"

#include <array>
#include <cmath>
#include <random>

namespace birchlever::performance {
namespace {

constexpr auto shapes = std::array{
    shape{12, 30, 6, 30, 0.6, 1500, 400, 120, 60000, 4},
    shape{10, 120, 3, 14, 0.4, 900, 700, 90, 45000, 12},
};

}  // namespace

auto shape_of(workload kind) -> const shape& {
  return shapes.at(static_cast<std::size_t>(kind));
}

auto draw_programs(const bench_settings& settings) -> std::vector<bench_program> {
  const auto& kind = shape_of(settings.workload_);
  auto programs = std::vector<bench_program>{};
  auto generator = std::mt19937_64{settings.seed_};
  auto uniform = std::uniform_real_distribution<double>{0, 1};
  auto mean_turns = (kind.least_turns_ + kind.most_turns_) / 2.0;
  auto mean_call_ms = kind.user_tokens_ / prefill_per_ms + kind.answer_tokens_ * token_ms * 1.8;
  auto work_ms = mean_turns * mean_call_ms;
  auto gap = work_ms / (settings.load_ * kind.engines_ * engine_capacity);
  auto at = 0.0;
  for (auto index = 0; index < settings.programs_; ++index) {
    auto burst = settings.workload_ == workload::signing_house && uniform(generator) < 0.3;
    at += burst ? 0
                : -std::log(1 - uniform(generator)) * gap *
                      (settings.workload_ == workload::signing_house ? 1.43 : 1);
    auto program = bench_program{};
    auto skew = uniform(generator);
    auto hot = settings.fault_ == bench_fault::hot_account && uniform(generator) < 0.5;
    program.account_ = hot ? 0 : static_cast<int>(skew * skew * kind.accounts_);
    program.template_ = program.account_ % kind.templates_;
    program.starts_ms_ = at;
    auto spread = kind.most_turns_ - kind.least_turns_;
    auto turns = kind.least_turns_ + static_cast<int>(uniform(generator) * spread);
    for (auto turn = 0; turn < turns; ++turn) {
      auto tool = uniform(generator) < kind.tool_share_;
      program.turns_.push_back({static_cast<int>(kind.user_tokens_ * (0.3 + 1.4 * uniform(generator))),
                                static_cast<int>(kind.answer_tokens_ * (0.3 + 1.4 * uniform(generator))),
                                tool ? -std::log(1 - uniform(generator)) * kind.tool_ms_ : 50});
    }
    program.history_tokens_ = system_tokens;
    programs.push_back(program);
  }
  return programs;
}

}  // namespace birchlever::performance

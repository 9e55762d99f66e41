/// Plays loads of one client account on the model of a whole fleet, and prints what became of them by the way
/// in which the daemons keep its allotment.
#include <array>
#include <iomanip>
#include <sstream>

#include "fleet_model/allotment_model.h"
#include "performance_test/performance_tests.h"

namespace birchlever::performance {
namespace {

using model::allotment_load;
using model::allotment_way;

constexpr auto seeds = 3;

struct named_load {
  const char* name_;
  allotment_load load_;
};

struct named_way {
  const char* name_;
  allotment_way way_;
};

auto calm(int daemons) -> allotment_load {
  auto load = allotment_load{};
  load.daemons_ = daemons;
  return load;
}

auto hot(int daemons) -> allotment_load {
  auto load = calm(daemons);
  load.hot_from_ms_ = 8000;
  load.hot_for_ms_ = 12000;
  load.hot_factor_ = 7.5;
  load.entry_share_ = 0.33;
  return load;
}

auto hot_and_cut(int daemons) -> allotment_load {
  auto load = hot(daemons);
  load.entry_share_ = 1;
  load.cut_from_ms_ = 10000;
  load.cut_for_ms_ = 9000;
  load.cut_share_ = 0.33;
  return load;
}

auto hot_and_killed(int daemons) -> allotment_load {
  auto load = hot(daemons);
  load.entry_share_ = 1;
  load.kill_at_ms_ = 13000;
  load.kill_share_ = 0.5;
  return load;
}

auto print_row(std::ostream& out, int daemons, const named_load& load, const named_way& way) -> void {
  auto sum = model::allotment_outcome{};
  for (auto seed = 1; seed <= seeds; ++seed) {
    auto one = model::play_allotment(load.load_, way.way_, static_cast<std::uint64_t>(seed));
    sum.most_over_ = std::max(sum.most_over_, one.most_over_);
    sum.owed_ += one.owed_;
    sum.completed_ += one.completed_;
    sum.spoiled_ += one.spoiled_;
    sum.requests_ += one.requests_;
    sum.refused_ += one.refused_;
    sum.asks_per_s_ += one.asks_per_s_ / seeds;
  }
  out << "| " << daemons << " | " << load.name_ << " | " << way.name_ << " | " << sum.most_over_ << " | "
      << static_cast<double>(sum.refused_) / sum.requests_ << " | " << sum.completed_ / sum.owed_ << " | "
      << sum.spoiled_ << " | " << sum.asks_per_s_ << " |\n";
}

}  // namespace

auto test_allotments(const test_settings& settings) -> bool {
  constexpr auto ways = std::array{named_way{"equal shares", allotment_way::equal},
                                   named_way{"central grants", allotment_way::central},
                                   named_way{"central, each request alone", allotment_way::scattered}};
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(2)
       << "| daemons | load | way | fullest window over the rule | refused at the first try | completed over "
          "owed | "
          "programs spoiled | datagrams/s |\n|---|---|---|---|---|---|---|---|\n";
  for (auto daemons : {12, 67, 295, 350}) {
    auto loads =
        std::array{named_load{"calm", calm(daemons)}, named_load{"hot 7.5 times, one hall", hot(daemons)},
                   named_load{"hot, a third cut off", hot_and_cut(daemons)},
                   named_load{"hot, half killed", hot_and_killed(daemons)}};
    for (const auto& load : loads) {
      for (const auto& way : ways) {
        print_row(text, daemons, load, way);
      }
    }
  }
  publish(settings, "allotments", text.str());
  return true;
}

}  // namespace birchlever::performance

/// Guards the choice of daemons that witness the use of leases.
#include <catch2/catch.hpp>
#include <set>

#include "birchlever/controllers/peer_views.h"

namespace birchlever {
namespace {

constexpr auto window = milliseconds{3000};

auto state_of(const std::string& vm, std::optional<std::uint32_t> incarnation, const std::string& region)
    -> peer_state {
  auto state = peer_state{};
  state.vm_ = vm;
  state.incarnation_ = incarnation;
  state.region_ = region;
  return state;
}

}  // namespace

/// Failure: a lease names a process that is gone, or one of an earlier version that does not witness leases.
TEST_CASE("a process is found among the recent peers of the region that name their incarnation",
          "[lease_use]") {
  auto clock = std::make_shared<manual_clock>();
  auto views = peer_views{"vm-0", window, clock};
  CHECK(views.find_process(5, window, "") == nullptr);
  views.record_state(state_of("vm-1", 7, "north"));
  clock->advance(window + 1);
  views.record_state(state_of("vm-2", 8, "north"));
  views.record_state(state_of("vm-3", std::nullopt, "north"));
  views.record_state(state_of("vm-4", 9, "south"));
  views.record_state(state_of("vm-5", 10, "north"));
  auto found = std::set<std::string>{};
  for (auto index = std::size_t{0}; index < 6; ++index) {
    found.insert(views.find_process(index, window, "north")->vm_);
  }
  CHECK(found == std::set<std::string>{"vm-2", "vm-5"});
  CHECK(views.find_process(1, window, "")->vm_ == "vm-4");
  CHECK(views.find_process(0, window, "east") == nullptr);
}

/// Failure: a witness is named by an incarnation that does not survive the message.
TEST_CASE("the incarnation of a process survives the encoding, and messages without one are read",
          "[lease_use]") {
  auto decoded = decode_peer_state(encode(state_of("vm-1", 4'000'000'000U, "north")));
  REQUIRE(ok(decoded));
  CHECK(value(decoded).incarnation_ == 4'000'000'000U);
  auto without = decode_peer_state(encode(state_of("vm-1", std::nullopt, "north")));
  REQUIRE(ok(without));
  CHECK_FALSE(value(without).incarnation_);
}

}  // namespace birchlever

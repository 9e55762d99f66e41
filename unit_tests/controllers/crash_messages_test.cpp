/// What daemons tell each other about crashes of upstreams and about their own starts.
#include <catch2/catch.hpp>

#include "birchlever/controllers/peer_views.h"

namespace birchlever {
namespace {

auto message_of(const std::string& vm, std::optional<milliseconds> uptime) -> peer_state {
  auto state = peer_state{};
  state.vm_ = vm;
  state.uptime_ = uptime;
  return state;
}

}  // namespace

// Guards against records that peers do not understand, and against messages of versions that send none.
TEST_CASE("records of crashes survive the encoding") {
  auto state = message_of("vm-1", 1234);
  state.send_records_ = {{"f1", "u1@5", send_state::crashed, 2, 70}, {"f2", "", send_state::served}};
  auto decoded = decode_peer_state(encode(state));
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).uptime_ == 1234);
  const auto& records = value(decoded).send_records_;
  REQUIRE(records.size() == 2);
  REQUIRE(records[0].fingerprint_ == "f1");
  REQUIRE(records[0].upstream_ == "u1@5");
  REQUIRE(records[0].state_ == send_state::crashed);
  REQUIRE(records[0].round_ == 2);
  REQUIRE(records[0].age_ == 70);
  REQUIRE(records[1].state_ == send_state::served);
  auto without = decode_peer_state(encode(message_of("vm-2", std::nullopt)));
  REQUIRE(ok(without));
  REQUIRE_FALSE(value(without).uptime_);
  REQUIRE(value(without).send_records_.empty());
}

// Guards against records of a later version that are taken for one that clears the history.
TEST_CASE("records with unknown states are skipped") {
  constexpr auto unknown_state = 9;
  auto state = message_of("vm-1", 1234);
  state.send_records_ = {{"f1", "u1", static_cast<send_state>(unknown_state)},
                         {"f2", "u2", send_state::open}};
  auto decoded = decode_peer_state(encode(state));
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).send_records_.size() == 1);
  REQUIRE(value(decoded).send_records_[0].fingerprint_ == "f2");
}

// Guards against forgetting that a daemon ended, with what it alone knew, because it is back at once.
TEST_CASE("peers that started or fell silent a short time ago may have been lost") {
  constexpr auto window = milliseconds{30'000};
  constexpr auto silence = milliseconds{1200};
  auto clock = std::make_shared<manual_clock>();
  clock->advance(100'000);
  auto views = peer_views{"vm-0", 1500, clock};
  REQUIRE(views.possibly_lost_peers(window, silence) == 0);
  views.record_state(message_of("vm-1", 60'000));
  REQUIRE(views.possibly_lost_peers(window, silence) == 0);
  clock->advance(silence + 1);
  REQUIRE(views.possibly_lost_peers(window, silence) == 1);
  views.record_state(message_of("vm-1", 500));
  REQUIRE(views.possibly_lost_peers(window, silence) == 1);
  views.record_state(message_of("vm-1", window));
  REQUIRE(views.possibly_lost_peers(window, silence) == 0);
}

}  // namespace birchlever

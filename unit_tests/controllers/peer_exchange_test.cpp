/// Daemons hear of each other's store, configuration and load.
#include "birchlever/controllers/peer_exchange.h"

#include <catch2/catch.hpp>

#include "birchlever/storage/memory_row_store.h"

namespace birchlever {
namespace {

auto free_udp_address(event_loop& loop) -> std::string {
  auto probe = asio::ip::udp::socket{loop, asio::ip::udp::endpoint{asio::ip::address_v4::loopback(), 0}};
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

auto join(event_loop& loop, const std::shared_ptr<memory_row_store>& rows, const std::string& vm,
          peer_state said) -> std::shared_ptr<peer_exchange> {
  auto settings = peer_exchange_settings{};
  settings.vm_ = vm;
  settings.address_ = free_udp_address(loop);
  settings.send_interval_ = 20;
  settings.list_gap_ = 50;
  settings.max_state_age_ = 300;
  said.vm_ = vm;
  auto joined = peer_exchange::create(loop, rows, settings, [said] { return said; });
  REQUIRE(ok(joined));
  return value(joined);
}

}  // namespace

TEST_CASE("a message survives its bytes, and other bytes are a typed error") {
  auto state = peer_state{"vm-1", 20, 7, "10.0.0.1:80", {{"u1", 3}}, 5, {{"u2", true}}, true};
  auto decoded = decode_peer_state(encode(state));
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).running_ == state.running_);
  REQUIRE(value(decoded).configuration_ == 7);
  REQUIRE(value(decoded).allowance_ranges_ == 5);
  REQUIRE(value(decoded).news_.at(0).id_ == "u2");
  REQUIRE(value(decoded).news_.at(0).failed_);
  REQUIRE(value(decoded).store_response_age_ == 20);
  REQUIRE(value(decoded).follows_);
  REQUIRE(failure(decode_peer_state("nonsense")).code_ == error_code::malformed_json);
  REQUIRE(failure(decode_peer_state("")).code_ == error_code::malformed_json);
}

TEST_CASE("peers that found each other in the store share what they know") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto one = join(loop, rows, "vm-1", {"", 50, 9, "10.0.0.1:80", {{"u1", 3}}, {}});
  auto two = join(loop, rows, "vm-2", {"", std::nullopt, 4, "", {{"u1", 2}, {"u2", 1}}, {}});
  auto clock = steady_clock{};
  auto give_up = clock.now() + 4000;
  while ((one->views().recent_peers() == 0 || two->views().recent_peers() == 0) && clock.now() < give_up) {
    loop.run_for(std::chrono::milliseconds{20});
    loop.restart();
  }
  REQUIRE(two->views().find_peer_with_store_contact_since(clock.now() - 1000)->vm_ == "vm-1");
  REQUIRE(two->views().find_peer_with_store_contact_since(clock.now() - 30) == nullptr);
  REQUIRE(one->views().find_peer_with_store_contact_since(0) == nullptr);
  REQUIRE(one->views().running_elsewhere().at("u1") == 2);
  auto heard = std::vector<upstream_news>{};
  one->on_health_report([&](const std::string& peer, const upstream_news& news) {
    CHECK(peer == "vm-2");
    heard.push_back(news);
  });
  two->publish({"u1", true});
  two->publish({"u2", false});
  give_up = clock.now() + 4000;
  while (heard.size() < 2 && clock.now() < give_up) {
    loop.run_for(std::chrono::milliseconds{20});
    loop.restart();
  }
  REQUIRE(heard.size() == 2);
  REQUIRE(heard[1].id_ == "u2");
}

}  // namespace birchlever

/// Guards the exchange of state and health reports between daemons.
#include "birchlever/controllers/peer_exchange.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "birchlever/storage/memory_row_store.h"

namespace birchlever {
namespace {

auto free_udp_address(event_loop& loop) -> std::string {
  auto probe = asio::ip::udp::socket{loop, asio::ip::udp::endpoint{asio::ip::address_v4::loopback(), 0}};
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

auto join(event_loop& loop, const std::shared_ptr<memory_row_store>& rows, const std::string& vm,
          peer_state state) -> std::shared_ptr<peer_exchange> {
  auto settings = peer_exchange_settings{};
  settings.vm_ = vm;
  settings.address_ = free_udp_address(loop);
  settings.send_interval_ = 20;
  settings.list_interval_ = 50;
  settings.max_state_age_ = 300;
  state.vm_ = vm;
  auto joined = peer_exchange::create(loop, rows, settings, [state] { return state; });
  REQUIRE(ok(joined));
  return value(joined);
}

}  // namespace

TEST_CASE("a peer message is decoded as encoded, and malformed ones fail with malformed_json") {
  auto state = peer_state{"vm-1", 20, 7, "10.0.0.1:80", {{"u1", 3}}, 5, {{"u2", true}}, true};
  auto decoded = decode_peer_state(encode(state));
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).running_ == state.running_);
  REQUIRE(value(decoded).configuration_ == 7);
  REQUIRE(value(decoded).allowance_ranges_ == 5);
  REQUIRE(value(decoded).health_reports_.at(0).id_ == "u2");
  REQUIRE(value(decoded).health_reports_.at(0).failed_);
  REQUIRE(value(decoded).store_response_age_ == 20);
  REQUIRE(value(decoded).follows_);
  REQUIRE(failure(decode_peer_state("nonsense")).code_ == error_code::malformed_json);
  REQUIRE(failure(decode_peer_state("")).code_ == error_code::malformed_json);
}

/// Guards against spent programs that are lost or repeated between message and store, messages that grow too
/// long for a large fleet, and messages of earlier releases that are no longer read.
TEST_CASE("reports of spent programs are delivered once, fit the message, and may be missing", "[spent]") {
  auto clock = std::make_shared<manual_clock>();
  auto views = peer_views{"vm-0", 1500, clock};
  auto state = peer_state{};
  state.vm_ = "vm-1";
  auto plain = encode(state).size();
  constexpr auto largest = std::uint64_t{0xFFFFFFFFFFFFFFFF};
  constexpr auto rows = 8;
  constexpr auto max_added_bytes = std::size_t{150};
  for (auto row = std::uint64_t{0}; row < rows; ++row) {
    state.spent_.push_back({largest - row, 100000});
  }
  CHECK(encode(state).size() - plain <= max_added_bytes);
  auto decoded = decode_peer_state(encode(state));
  REQUIRE(ok(decoded));
  REQUIRE(value(decoded).spent_.size() == rows);
  CHECK(value(decoded).spent_.front().program_ == largest);
  CHECK(value(decoded).spent_.front().tokens_ == 100000);
  views.record_state(value(decoded));
  state.spent_ = {{largest, 100007}};
  views.record_state(state);
  auto reports = views.take_spent_reports();
  REQUIRE(reports.size() == rows);
  CHECK(reports.back().program_ == largest);
  CHECK(reports.back().tokens_ == 100007);
  CHECK(views.take_spent_reports().empty());
  // A message without any of the fields added since the first release.
  auto earlier = decode_peer_state(std::string{"\x86\x64vm-1\xF6\x07\x60\xA0\x80", 11});
  REQUIRE(ok(earlier));
  CHECK(value(earlier).spent_.empty());
}

// A daemon of an earlier version sends no report, and its messages must still be read.
TEST_CASE("a report about shortages survives the encoding, and messages without one are read",
          "[admission]") {
  auto state = peer_state{};
  state.vm_ = "vm-1";
  auto bytes_without = encode(state).size();
  REQUIRE_FALSE(value(decode_peer_state(encode(state))).pressure_);
  state.pressure_ = pressure_report{123.45, 20, 1.5, 0.75, 9.5, 2, 11};
  auto decoded = value(decode_peer_state(encode(state))).pressure_;
  REQUIRE(decoded);
  CHECK(decoded->write_wait_ms_ == Approx(123.45));
  CHECK(decoded->throttled_per_s_ == Approx(1.5));
  CHECK(decoded->upstreams_ == Approx(0.75));
  CHECK(decoded->turns_per_s_ == Approx(11));
  CHECK(encode(state).size() - bytes_without <= 30);
  auto earlier = nlohmann::json::from_cbor(encode(state));
  constexpr auto earlier_fields = std::size_t{11};
  while (earlier.size() > earlier_fields) {
    earlier.erase(earlier.size() - 1);
  }
  auto bytes = std::string{};
  nlohmann::json::to_cbor(earlier, bytes);
  auto read = decode_peer_state(bytes);
  REQUIRE(ok(read));
  CHECK_FALSE(value(read).pressure_);
}

TEST_CASE("views return the reports of current peers with their age", "[admission]") {
  auto clock = std::make_shared<manual_clock>();
  clock->advance(100'000);
  auto views = peer_views{"vm-1", 1500, clock};
  auto reporting = peer_state{};
  reporting.vm_ = "vm-2";
  reporting.pressure_ = pressure_report{50};
  views.record_state(reporting);
  auto silent = peer_state{};
  silent.vm_ = "vm-3";
  views.record_state(silent);
  clock->advance(700);
  REQUIRE(views.pressure_reports().size() == 1);
  CHECK(views.pressure_reports().front().age_ == 700);
  CHECK(views.pressure_reports().front().report_.write_wait_ms_ == 50);
  clock->advance(800);
  CHECK(views.pressure_reports().empty());
}

TEST_CASE("peers listed in the store exchange state and health reports") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto first = join(loop, rows, "vm-1", {"", 50, 9, "10.0.0.1:80", {{"u1", 3}}, {}});
  auto second = join(loop, rows, "vm-2", {"", std::nullopt, 4, "", {{"u1", 2}, {"u2", 1}}, {}});
  auto clock = steady_clock{};
  auto deadline = clock.now() + 4000;
  while ((first->views().recent_peers() == 0 || second->views().recent_peers() == 0) &&
         clock.now() < deadline) {
    loop.run_for(std::chrono::milliseconds{20});
    loop.restart();
  }
  REQUIRE(second->views().find_peer_with_store_contact_since(clock.now() - 1000)->vm_ == "vm-1");
  REQUIRE(second->views().find_peer_with_store_contact_since(clock.now() - 30) == nullptr);
  REQUIRE(first->views().find_peer_with_store_contact_since(0) == nullptr);
  REQUIRE(first->views().running_elsewhere().at("u1") == 2);
  auto received = std::vector<upstream_health_report>{};
  first->on_health_report([&](const std::string& peer, const upstream_health_report& report) {
    CHECK(peer == "vm-2");
    received.push_back(report);
  });
  second->publish({"u1", true});
  second->publish({"u2", false});
  deadline = clock.now() + 4000;
  while (received.size() < 2 && clock.now() < deadline) {
    loop.run_for(std::chrono::milliseconds{20});
    loop.restart();
  }
  REQUIRE(received.size() == 2);
  REQUIRE(received[1].id_ == "u2");
}

// Guards against a daemon that starts while the store misses what its peers know of lost sends.
TEST_CASE("a peer gets the known records when it has started") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto knowing = join(loop, rows, "vm-1", {});
  constexpr auto known = std::size_t{100};  // More than a message holds.
  auto introductions = 0;
  knowing->on_peer_started([&] {
    ++introductions;
    return std::vector<send_record>(known, {"work", "u1", send_state::open});
  });
  for (auto incarnation = std::uint32_t{1}; incarnation <= 2; ++incarnation) {
    auto state = peer_state{};
    state.incarnation_ = incarnation;
    auto started = join(loop, rows, "vm-2", state);
    auto received = std::size_t{0};
    started->on_send_record([&](const send_record& /*record*/) { ++received; });
    auto clock = steady_clock{};
    auto deadline = clock.now() + 4000;
    while (received < known && clock.now() < deadline) {
      loop.run_for(std::chrono::milliseconds{20});
      loop.restart();
    }
    REQUIRE(received == known);
    started->on_send_record(nullptr);
  }
  loop.run_for(std::chrono::milliseconds{100});
  REQUIRE(introductions >= 2);
}

/// Failure: a daemon that was added acts as the grantor of an account, while others learn of it up to an
/// interval of the list later and ask the former grantor meanwhile.
TEST_CASE("a daemon that was added is listed by its peers as soon as they hear it") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto settings = peer_exchange_settings{};
  settings.vm_ = "vm-1";
  settings.address_ = free_udp_address(loop);
  auto made = peer_exchange::create(loop, rows, settings, [] {
    auto state = peer_state{};
    state.vm_ = "vm-1";
    return state;
  });
  REQUIRE(ok(made));
  auto reads = 0;
  auto listed = std::set<std::string>{};
  value(made)->on_list([&](const std::map<std::string, asio::ip::udp::endpoint>& peers) {
    ++reads;
    for (const auto& [vm, address] : peers) {
      listed.insert(vm);
    }
  });
  loop.run_for(std::chrono::milliseconds{1000});  // Both reads of its start are made.
  REQUIRE(listed.empty());
  auto reads_before = reads;
  auto added = join(loop, rows, "vm-2", {});
  loop.run_for(std::chrono::milliseconds{settings.min_list_interval_ + 500});
  CHECK(listed.count("vm-2") == 1);
  CHECK(reads - reads_before <= 3);
  // One that cannot register does not make others read the list again and again.
  rows->remove({settings.table_, "", "vm-2"});
  rows->faults().lose_calls_ = 1000;
  reads_before = reads;
  loop.run_for(std::chrono::milliseconds{2 * settings.min_list_interval_});
  CHECK(reads - reads_before <= 3);
}

// Guards against requests that a daemon handles before its peers have told it what they know.
TEST_CASE("a daemon that starts is heard as soon as it knows its peers") {
  auto loop = event_loop{1};
  auto rows = std::make_shared<memory_row_store>(loop);
  auto known = join(loop, rows, "vm-1", {});
  loop.run_for(std::chrono::milliseconds{100});
  loop.restart();
  auto settings = peer_exchange_settings{};
  settings.vm_ = "vm-2";
  settings.address_ = free_udp_address(loop);
  settings.send_interval_ = 60'000;
  auto self = peer_state{};
  self.vm_ = "vm-2";
  auto started = peer_exchange::create(loop, rows, settings, [self] { return self; });
  REQUIRE(ok(started));
  auto clock = steady_clock{};
  auto deadline = clock.now() + 1000;
  while (!known->views().last_seen("vm-2") && clock.now() < deadline) {
    loop.run_for(std::chrono::milliseconds{20});
    loop.restart();
  }
  REQUIRE(known->views().last_seen("vm-2"));
}

}  // namespace birchlever

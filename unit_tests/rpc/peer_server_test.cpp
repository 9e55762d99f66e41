/// Guards the stop of the peer port against messages that are still being handled.
#include "birchlever/rpc/peer_server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/rpc/generated/peer.h"
#include "birchlever/rpc/peer_client_pool.h"
#include "birchlever/storage/memory_table_store.h"
#include "birchlever/telemetry/metrics.h"
#include "unit_tests/http/free_port.h"

namespace birchlever {
namespace {

constexpr auto fleet_key = "key";
constexpr auto answer_timeout = milliseconds{5000};
constexpr auto configuration_bound = milliseconds{8000};
constexpr auto handling_time = milliseconds{300};

auto make_test_context() -> std::shared_ptr<daemon_context> {
  auto loop = event_loop{1};
  auto context = std::make_shared<daemon_context>();
  context->settings_.peer_port_ = free_port(loop);
  context->settings_.fleet_keys_ = fleet_key;
  context->clock_ = std::make_shared<steady_clock>();
  context->store_ = std::make_shared<memory_table_store>();
  context->configuration_ =
      value(versioned_configuration::create(context->store_, context->clock_, configuration_bound));
  context->metrics_ = std::make_shared<metrics>();
  return context;
}

auto send_query(const std::string& address) -> status {
  auto pool = value(peer_client_pool::create({}));
  return pool->call(address, answer_timeout, [](rpc::peerClient& peer) {
    auto sender = rpc::envelope{};
    sender.fleet_key = fleet_key;
    auto reply = rpc::text_reply{};
    peer.query(reply, sender, "show programs");
  });
}

}  // namespace

/// Failure: a message that is handled while the daemon stops uses the server after its destruction (exit code
/// 139).
TEST_CASE("a stopped peer server has finished the messages that it was handling") {
  auto context = make_test_context();
  auto began = std::promise<void>{};
  auto release = std::promise<void>{};
  auto finished = std::atomic<bool>{false};
  auto query = [&](const std::string& /*text*/) -> result<std::string> {
    began.set_value();
    release.get_future().wait_for(
        std::chrono::milliseconds{handling_time});  // Longer than an idle stop takes.
    finished = true;
    return std::string{"[]"};
  };
  auto server = peer_server::create(context, nullptr, query, [] {});
  REQUIRE(ok(server));
  auto address = "127.0.0.1:" + std::to_string(context->settings_.peer_port_);
  auto caller = std::async(std::launch::async, [&] { return send_query(address); });
  began.get_future().wait();
  value(server)->stop();
  CHECK(finished);
  release.set_value();
  value(server).reset();
  caller.wait();
}

}  // namespace birchlever

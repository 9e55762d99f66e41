/// Guards calls of other daemons against pooled connections that went silent without being closed.
#include "birchlever/rpc/peer_client_pool.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <catch2/catch.hpp>

#include "birchlever/rpc/generated/peer.h"
#include "soak/tcp_proxy.h"
#include "unit_tests/http/concurrent_calls.h"
#include "unit_tests/http/free_port.h"
#include "unit_tests/http/loop_thread.h"

namespace birchlever {
namespace {

namespace thrift = apache::thrift;

constexpr auto answer_timeout = milliseconds{400};
constexpr auto idle_connections = 3;

/// Answers the messages that fill a pool once all have arrived, and later ones at once.
class gathering_handler final : public rpc::peerNull {
 public:
  auto hear_generation(rpc::text_reply& /*reply*/, const rpc::envelope& /*sender*/) -> void override {
    calls_.arrive_and_wait();
  }

  call_barrier calls_;
};

/// Tells when a server listens.
class listening_handler final : public thrift::server::TServerEventHandler {
 public:
  auto preServe() -> void override { listening_.set_value(); }

  std::promise<void> listening_;
};

/// A peer behind a link that can silence its connections.
struct silent_peer_fixture {
  silent_peer_fixture() {
    auto port = static_cast<unsigned short>(0);
    link_thread_.run([&] {
      port = free_port(link_thread_.loop());
      address_ = "127.0.0.1:" + std::to_string(free_port(link_thread_.loop()));
      link_ =
          value(soak::tcp_proxy::create(link_thread_.loop(), address_, "127.0.0.1:" + std::to_string(port)));
    });
    auto socket = std::make_shared<thrift::transport::TServerSocket>("127.0.0.1", port);
    server_ = std::make_unique<thrift::server::TThreadedServer>(
        std::make_shared<rpc::peerProcessor>(messages_), socket,
        std::make_shared<thrift::transport::TFramedTransportFactory>(),
        std::make_shared<thrift::protocol::TCompactProtocolFactory>());
    auto handler = std::make_shared<listening_handler>();
    server_->setServerEventHandler(handler);
    server_thread_ = std::thread{[this] { server_->serve(); }};
    handler->listening_.get_future().wait();
  }

  ~silent_peer_fixture() {
    pool_.reset();
    link_thread_.run([this] { link_->set(soak::link_state::resetting); });
    server_->stop();
    server_thread_.join();
  }

  auto call() -> bool {
    auto exchange = [](rpc::peerClient& peer) {
      auto reply = rpc::text_reply{};
      peer.hear_generation(reply, {});
    };
    return ok(pool_->call(address_, answer_timeout, exchange));
  }

  loop_thread link_thread_;
  std::string address_;
  std::shared_ptr<soak::tcp_proxy> link_;
  std::shared_ptr<gathering_handler> messages_ = std::make_shared<gathering_handler>();
  std::unique_ptr<thrift::server::TThreadedServer> server_;
  std::thread server_thread_;
  std::shared_ptr<peer_client_pool> pool_ = value(peer_client_pool::create({}));
};

}  // namespace

/// Failure: every connection that was pooled before the link went silent costs another call its timeout.
TEST_CASE("after a peer call without answer the next one uses a new connection") {
  auto fixture = silent_peer_fixture{};
  fixture.messages_->calls_.expect(idle_connections);
  REQUIRE(call_concurrently(idle_connections, [&] { return fixture.call(); }));
  fixture.link_thread_.run([&] { fixture.link_->silence_open(); });
  REQUIRE_FALSE(fixture.call());
  CHECK(fixture.call());
}

}  // namespace birchlever

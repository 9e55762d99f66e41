#include "birchlever/rpc/peer_client_pool.h"

#include <sys/socket.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <cerrno>

#include "birchlever/core/test_switches.h"
#include "birchlever/rpc/generated/peer.h"
#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

namespace thrift = apache::thrift;

namespace {

/// True when an idle connection has neither been closed by the peer nor holds bytes no one asked for.
auto still_open(thrift::transport::TSocket& socket) -> bool {
  auto byte = char{};
  auto outcome = recv(socket.getSocketFD(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return outcome < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct peer_client_pool::connection {
  std::shared_ptr<thrift::transport::TSocket> socket_;
  std::shared_ptr<thrift::transport::TFramedTransport> transport_;
  std::unique_ptr<rpc::peerClient> client_;
  bool fresh_ = true;
};

auto peer_client_pool::create(const peer_pool_settings& settings)
    -> result<std::shared_ptr<peer_client_pool>> {
  if (settings.connect_timeout_ < 1) {
    return error{error_code::invalid_setting, "peer timeouts must be at least 1 ms"};
  }
  return std::shared_ptr<peer_client_pool>{new peer_client_pool{settings}};
}

peer_client_pool::peer_client_pool(const peer_pool_settings& settings) : settings_{settings} {}

peer_client_pool::~peer_client_pool() = default;

auto peer_client_pool::borrow(const std::string& address) -> result<std::unique_ptr<connection>> {
  {
    auto lock = std::lock_guard{mutex_};
    auto& idle = idle_[address];
    if (!idle.empty()) {
      auto used = std::move(idle.back());
      idle.pop_back();
      used->fresh_ = false;
      return used;
    }
  }
  auto target = parse_endpoint(address);
  if (!ok(target)) {
    return failure(target);
  }
  auto made = std::make_unique<connection>();
  made->socket_ = std::make_shared<thrift::transport::TSocket>(value(target).host_, value(target).port_);
  made->socket_->setConnTimeout(static_cast<int>(settings_.connect_timeout_));
  made->socket_->setNoDelay(true);
  made->transport_ = std::make_shared<thrift::transport::TFramedTransport>(made->socket_);
  auto protocol = std::make_shared<thrift::protocol::TCompactProtocol>(made->transport_);
  made->client_ = std::make_unique<rpc::peerClient>(protocol);
  try {
    made->transport_->open();
  } catch (const thrift::TException&) {
    return error{error_code::owner_unreachable, "no connection to daemon " + address, ran_state::not_run,
                 500};
  }
  return made;
}

auto peer_client_pool::give_back(const std::string& address, std::unique_ptr<connection> used) -> void {
  auto lock = std::lock_guard{mutex_};
  auto& idle = idle_[address];
  if (idle.size() < settings_.idle_per_peer_) {
    idle.push_back(std::move(used));
  }
}

auto peer_client_pool::forget(const std::string& address) -> void {
  auto closed = std::vector<std::unique_ptr<connection>>{};  // Destroyed without the lock.
  auto lock = std::lock_guard{mutex_};
  closed.swap(idle_[address]);
}

auto peer_client_pool::call(const std::string& address, milliseconds answer_timeout, const exchange& use)
    -> status {
  auto state = test_switches::instance().link("peer:" + address);
  if (state == link_state::cut) {
    return error{error_code::owner_unreachable, "link to daemon " + address + " is cut", ran_state::not_run,
                 500};
  }
  while (true) {
    auto borrowed = borrow(address);
    if (!ok(borrowed)) {
      return failure(borrowed);
    }
    auto used = std::move(value(borrowed));
    used->socket_->setRecvTimeout(static_cast<int>(answer_timeout));
    used->socket_->setSendTimeout(static_cast<int>(answer_timeout));
    if (!used->fresh_ && !still_open(*used->socket_)) {
      continue;  // The peer closed this one while it was idle; try another.
    }
    try {
      use(*used->client_);
    } catch (const thrift::TException& fault) {
      forget(address);
      return error{error_code::owner_unreachable, "daemon " + address + " gave no answer: " + fault.what(),
                   ran_state::outcome_unknown, 500};
    }
    if (state == link_state::answers_lost) {
      return error{error_code::owner_unreachable, "answer of daemon " + address + " was lost",
                   ran_state::outcome_unknown, 500};
    }
    give_back(address, std::move(used));
    return success;
  }
}

}  // namespace birchlever

/// Queries upstreams about calls, releases engine memory, and sweeps sessions that were left behind.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;

/// A detached actor, since upstream requests block. Failed releases are retried; the sweep, after a takeover
/// and periodically, finds sessions that a failed owner did not release.
class upstream_worker final : public caf::event_based_actor {
 public:
  upstream_worker(caf::actor_config& config, std::shared_ptr<daemon_context> context);

  auto make_behavior() -> caf::behavior override;

 private:
  auto probe(const probe_message& query) -> shared<probe_message>;
  auto probe_engine(const endpoint& target, probe_message& query) -> void;
  auto probe_service(const endpoint& target, probe_message& query) -> void;
  auto release(const std::string& upstream, const std::string& session) -> bool;
  auto sweep(const sweep_message& live) -> void;

  std::shared_ptr<daemon_context> context_;
};

}  // namespace birchlever

/// Asks upstreams about calls, releases engine memory, and sweeps what was left behind.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;

/// A detached actor, since upstreams block. Releases that fail are tried again; the sweep after a takeover
/// and from time to time finds what a dead owner could not release.
class upstream_worker final : public caf::event_based_actor {
 public:
  upstream_worker(caf::actor_config& config, std::shared_ptr<daemon_context> context);

  auto make_behavior() -> caf::behavior override;

 private:
  auto probe(const probe_message& question) -> shared<probe_message>;
  auto probe_engine(const endpoint& target, probe_message& question) -> void;
  auto probe_service(const endpoint& target, probe_message& question) -> void;
  auto release(const std::string& upstream, const std::string& session) -> bool;
  auto sweep(const sweep_message& live) -> void;

  std::shared_ptr<daemon_context> context_;
};

}  // namespace birchlever

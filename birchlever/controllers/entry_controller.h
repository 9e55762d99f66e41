/// Periodic maintenance of the calls that this entry daemon has in flight.
#pragma once

#include <memory>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// A detached actor that periodically calls owner_gateway::reconcile().
class entry_controller final : public caf::event_based_actor {
 public:
  entry_controller(caf::actor_config& config, std::shared_ptr<owner_gateway> gateway);

  auto make_behavior() -> caf::behavior override;

 private:
  std::shared_ptr<owner_gateway> gateway_;
};

}  // namespace birchlever

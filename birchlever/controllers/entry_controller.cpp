#include "birchlever/controllers/entry_controller.h"

#include "birchlever/controllers/owner_gateway.h"

namespace birchlever {
namespace {

constexpr auto reconcile_interval = std::chrono::milliseconds{100};

}  // namespace

entry_controller::entry_controller(caf::actor_config& config, std::shared_ptr<owner_gateway> gateway)
    : caf::event_based_actor{config}, gateway_{std::move(gateway)} {}

auto entry_controller::make_behavior() -> caf::behavior {
  send(this, tick_atom::value);
  return {
      [this](tick_atom) {
        gateway_->reconcile();
        delayed_send(this, reconcile_interval, tick_atom::value);
      },
      [this](stop_atom) { quit(); },
  };
}

}  // namespace birchlever

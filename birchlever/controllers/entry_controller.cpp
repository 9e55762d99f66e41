#include "birchlever/controllers/entry_controller.h"

#include "birchlever/controllers/owner_gateway.h"

namespace birchlever {
namespace {

constexpr auto catch_up_gap = std::chrono::milliseconds{100};

}  // namespace

entry_controller::entry_controller(caf::actor_config& config, std::shared_ptr<owner_gateway> gateway)
    : caf::event_based_actor{config}, gateway_{std::move(gateway)} {}

auto entry_controller::make_behavior() -> caf::behavior {
  send(this, tick_atom::value);
  return {
      [this](tick_atom) {
        gateway_->catch_up();
        delayed_send(this, catch_up_gap, tick_atom::value);
      },
      [this](stop_atom) { quit(); },
  };
}

}  // namespace birchlever

/// Reads the engines' load reports and shares them among the shard owners.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// A detached actor. Each engine is asked by one owner, chosen by rendezvous among the owners, which sends
/// what it learned to the other owners in one message a round. So engines see one question a round whatever
/// the fleet's size, and daemons that own nothing neither ask nor hear.
class upstream_watch final : public caf::event_based_actor {
 public:
  upstream_watch(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                 std::shared_ptr<owner_gateway> gateway);

  auto make_behavior() -> caf::behavior override;

 private:
  auto round() -> void;
  [[nodiscard]] auto engines_to_ask(const std::vector<std::string>& owners) const -> std::vector<std::string>;
  auto ask(const std::string& engine) -> bool;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
};

/// Takes in the reports another owner shared. Unreadable ones change nothing.
auto apply_shared_views(daemon_context& context, const std::string& views) -> status;

}  // namespace birchlever

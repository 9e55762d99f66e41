/// Polls the engines' load reports and shares them among the shard owners.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// A detached actor. Each engine is polled by one owner, selected by rendezvous hashing, which sends its
/// reports to the other owners in one message per round. Engines thus get one request per round at any fleet
/// size, and daemons that own no shard take no part.
class upstream_watch final : public caf::event_based_actor {
 public:
  upstream_watch(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                 std::shared_ptr<owner_gateway> gateway);

  auto make_behavior() -> caf::behavior override;

 private:
  auto poll_engines() -> void;
  [[nodiscard]] auto engines_to_poll(const std::vector<std::string>& owners) const
      -> std::vector<std::string>;
  auto poll_engine(const std::string& engine) -> bool;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
};

/// Applies the load reports shared by another owner. Unreadable ones change nothing. Failures:
/// malformed_json.
auto apply_shared_views(daemon_context& context, const std::string& views) -> status;

}  // namespace birchlever

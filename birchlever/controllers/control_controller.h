/// Looks at the platform: one scan of the control rows for leases and configuration, and the VM list.
#pragma once

#include <memory>
#include <random>
#include <set>
#include <vector>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// A detached actor. One scan a look tells this daemon everything about leases and configuration, so the
/// store sees one read a look from each daemon, however many shards there are.
class control_controller final : public caf::event_based_actor {
 public:
  control_controller(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                     std::vector<caf::actor> shards, std::shared_ptr<owner_gateway> gateway);

  auto make_behavior() -> caf::behavior override;

 private:
  auto look() -> void;
  auto next_gap() -> milliseconds;
  auto look_at_vms() -> void;
  auto take_configuration(const std::optional<table_row>& row, milliseconds began) -> void;
  auto tell_shard(int shard, const std::optional<table_row>& row) -> void;
  [[nodiscard]] auto better_owner(int shard, const std::vector<std::string>& ranking) -> std::string;
  auto load_configuration() -> void;
  auto hand_over_all() -> void;

  std::shared_ptr<daemon_context> context_;
  std::vector<caf::actor> shards_;
  std::shared_ptr<owner_gateway> gateway_;
  std::mt19937_64 generator_{std::random_device{}()};
  std::int64_t loaded_generation_ = -1;
  std::vector<milliseconds> better_owner_since_;  ///< Per shard; zero when this daemon is the best owner.
};

}  // namespace birchlever

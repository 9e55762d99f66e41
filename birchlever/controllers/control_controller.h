/// Polls the store's control rows (leases, configuration) and the VM list.
#pragma once

#include <memory>
#include <random>
#include <set>
#include <vector>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;

/// A detached actor. Reads all control rows in one scan per poll, so that the number of store reads does not
/// depend on the number of shards.
class control_controller final : public caf::event_based_actor {
 public:
  control_controller(caf::actor_config& config, std::shared_ptr<daemon_context> context,
                     std::vector<caf::actor> shards, std::shared_ptr<owner_gateway> gateway);

  auto make_behavior() -> caf::behavior override;

 private:
  auto scan_control_rows() -> void;
  auto next_poll_interval() -> milliseconds;
  auto poll_vms() -> void;
  auto observe_configuration(const std::optional<table_row>& row, milliseconds started_at) -> void;
  auto notify_shard(int shard, const std::optional<table_row>& row) -> void;
  [[nodiscard]] auto better_owner(int shard, const std::vector<std::string>& ranking) -> std::string;
  auto load_configuration() -> void;
  auto hand_over_all() -> void;

  std::shared_ptr<daemon_context> context_;
  std::vector<caf::actor> shards_;
  std::shared_ptr<owner_gateway> gateway_;
  std::mt19937_64 generator_{std::random_device{}()};
  std::int64_t loaded_generation_ = -1;
  std::vector<milliseconds> better_owner_since_;  ///< By shard; 0 while this daemon is the preferred owner.
};

}  // namespace birchlever

/// What this daemon last learned of the fleet: VMs, configuration, and who owns which shard.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/coordination/fleet_configuration.h"
#include "birchlever/coordination/lease.h"
#include "birchlever/storage/vm_list.h"

namespace birchlever {

/// Snapshots that readers share; thread safe.
class fleet_view {
 public:
  explicit fleet_view(int shard_count);

  auto set_vms(std::vector<vm_entry> entries) -> void;
  auto set_configuration(fleet_configuration configuration) -> void;
  auto set_claim(int shard, const lease_claim& claim) -> void;

  [[nodiscard]] auto vms() const -> std::shared_ptr<const std::vector<vm_entry>>;
  [[nodiscard]] auto configuration() const -> std::shared_ptr<const fleet_configuration>;
  [[nodiscard]] auto claim(int shard) const -> lease_claim;
  [[nodiscard]] auto shard_count() const -> int { return static_cast<int>(claims_.size()); }

  /// Peer addresses of all current owners, each once, in order.
  [[nodiscard]] auto owners() const -> std::vector<std::string>;

  /// Daemons that are live and not leaving, best first for the shard. A pinned daemon comes before all.
  [[nodiscard]] auto preferred_owners(int shard) const -> std::vector<std::string>;

  /// The entry of an upstream.
  [[nodiscard]] auto find_vm(const std::string& id) const -> std::optional<vm_entry>;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const std::vector<vm_entry>> vms_;
  std::shared_ptr<const fleet_configuration> configuration_;
  std::vector<lease_claim> claims_;
};

}  // namespace birchlever

/// The latest known state of the fleet: VMs, configuration, and the owner of each shard.
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

/// Thread safe; getters return shared snapshots.
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

  /// Returns the peer addresses of all current owners, sorted and without duplicates.
  [[nodiscard]] auto owners() const -> std::vector<std::string>;

  /// Returns the daemons that are live and not leaving, most preferred for the shard first. A pinned daemon
  /// precedes all others.
  [[nodiscard]] auto preferred_owners(int shard) const -> std::vector<std::string>;

  /// Returns a VM's entry, or none if it is not listed.
  [[nodiscard]] auto find_vm(const std::string& id) const -> std::optional<vm_entry>;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const std::vector<vm_entry>> vms_;
  std::shared_ptr<const fleet_configuration> configuration_;
  std::vector<lease_claim> claims_;
};

}  // namespace birchlever

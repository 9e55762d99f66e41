#include "birchlever/controllers/fleet_view.h"

#include <algorithm>
#include <set>

#include "birchlever/core/hashing.h"

namespace birchlever {

fleet_view::fleet_view(int shard_count)
    : vms_{std::make_shared<std::vector<vm_entry>>()},
      configuration_{std::make_shared<fleet_configuration>()},
      claims_(static_cast<std::size_t>(shard_count)) {}

auto fleet_view::set_vms(std::vector<vm_entry> entries) -> void {
  auto updated = std::make_shared<const std::vector<vm_entry>>(std::move(entries));
  auto lock = std::lock_guard{mutex_};
  vms_ = std::move(updated);
}

auto fleet_view::set_configuration(fleet_configuration configuration) -> void {
  auto updated = std::make_shared<const fleet_configuration>(std::move(configuration));
  auto lock = std::lock_guard{mutex_};
  configuration_ = std::move(updated);
}

auto fleet_view::set_claim(int shard, const lease_claim& claim) -> void {
  auto lock = std::lock_guard{mutex_};
  auto& known = claims_.at(static_cast<std::size_t>(shard));
  if (claim.epoch_ >= known.epoch_) {
    known = claim;
  }
}

auto fleet_view::vms() const -> std::shared_ptr<const std::vector<vm_entry>> {
  auto lock = std::lock_guard{mutex_};
  return vms_;
}

auto fleet_view::configuration() const -> std::shared_ptr<const fleet_configuration> {
  auto lock = std::lock_guard{mutex_};
  return configuration_;
}

auto fleet_view::claim(int shard) const -> lease_claim {
  auto lock = std::lock_guard{mutex_};
  return claims_.at(static_cast<std::size_t>(shard));
}

auto fleet_view::owners() const -> std::vector<std::string> {
  auto lock = std::lock_guard{mutex_};
  auto addresses = std::set<std::string>{};
  for (const auto& claim : claims_) {
    if (!claim.address_.empty()) {
      addresses.insert(claim.address_);
    }
  }
  return {addresses.begin(), addresses.end()};
}

auto fleet_view::preferred_owners(int shard) const -> std::vector<std::string> {
  auto entries = vms();
  auto pinned = configuration()->pinned_shards_;
  auto key = "shard " + std::to_string(shard);
  auto ranked = std::vector<std::pair<std::uint64_t, std::string>>{};
  for (const auto& entry : *entries) {
    if (entry.kind_ == vm_kind::daemon && !entry.leaving_) {
      ranked.emplace_back(rendezvous_weight(entry.id_, key), entry.id_);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  auto ids = std::vector<std::string>{};
  for (auto& [weight, id] : ranked) {
    ids.push_back(std::move(id));
  }
  auto pin = pinned.find(shard);
  if (pin != pinned.end()) {
    auto position = std::find(ids.begin(), ids.end(), pin->second);
    if (position != ids.end()) {
      std::rotate(ids.begin(), position, position + 1);
    }
  }
  return ids;
}

auto fleet_view::find_vm(const std::string& id) const -> std::optional<vm_entry> {
  auto entries = vms();
  for (const auto& entry : *entries) {
    if (entry.id_ == id) {
      return entry;
    }
  }
  return std::nullopt;
}

}  // namespace birchlever

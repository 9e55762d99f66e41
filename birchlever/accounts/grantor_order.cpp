#include "birchlever/accounts/grantor_order.h"

#include <algorithm>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto max_doublings = 4;

struct ranked_vm {
  std::uint64_t weight_ = 0;
  const std::string* vm_ = nullptr;

  auto operator<(const ranked_vm& other) const -> bool { return weight_ > other.weight_; }
};

}  // namespace

auto grantor_order::candidates(const std::string& account, milliseconds now) const
    -> std::vector<std::string> {
  auto order = std::vector<ranked_vm>{{rendezvous_weight(settings_.vm_, account), &settings_.vm_}};
  for (const auto& vm : members_) {
    order.push_back({rendezvous_weight(vm, account), &vm});
  }
  auto count = std::min(order.size(), settings_.max_grantors_);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  auto available = std::vector<std::string>{};
  for (auto index = std::size_t{0}; index < count && available.size() < settings_.max_candidates_; ++index) {
    auto entry = unresponsive_.find(*order[index].vm_);
    if (entry == unresponsive_.end() || entry->second.until_ <= now) {
      available.push_back(*order[index].vm_);
    }
  }
  return available;
}

auto grantor_order::primary(const std::string& account) const -> std::string {
  const auto* best = &settings_.vm_;
  auto weight = rendezvous_weight(settings_.vm_, account);
  for (const auto& vm : members_) {
    auto other_weight = rendezvous_weight(vm, account);
    if (other_weight > weight) {
      weight = other_weight;
      best = &vm;
    }
  }
  return *best;
}

auto grantor_order::record_unresponsive(const std::string& vm, milliseconds now) -> void {
  auto& entry = unresponsive_[vm];
  auto duration = settings_.initial_backoff_ << std::min(entry.failures_, max_doublings);
  entry.until_ = now + std::min(duration, settings_.max_backoff_);
  ++entry.failures_;
}

}  // namespace birchlever

#include "birchlever/accounts/grantor_order.h"

#include <algorithm>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto most_doublings = 4;

struct weighed {
  std::uint64_t weight_ = 0;
  const std::string* vm_ = nullptr;

  auto operator<(const weighed& other) const -> bool { return weight_ > other.weight_; }
};

}  // namespace

auto grantor_order::candidates(const std::string& account, milliseconds now) const
    -> std::vector<std::string> {
  auto order = std::vector<weighed>{{rendezvous_weight(settings_.vm_, account), &settings_.vm_}};
  for (const auto& vm : members_) {
    order.push_back({rendezvous_weight(vm, account), &vm});
  }
  auto count = std::min(order.size(), settings_.max_grantors_);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  auto best = std::vector<std::string>{};
  for (auto index = std::size_t{0}; index < count && best.size() < settings_.max_candidates_; ++index) {
    auto silent = silent_.find(*order[index].vm_);
    if (silent == silent_.end() || silent->second.until_ <= now) {
      best.push_back(*order[index].vm_);
    }
  }
  return best;
}

auto grantor_order::primary(const std::string& account) const -> std::string {
  const auto* best = &settings_.vm_;
  auto weight = rendezvous_weight(settings_.vm_, account);
  for (const auto& vm : members_) {
    auto other = rendezvous_weight(vm, account);
    if (other > weight) {
      weight = other;
      best = &vm;
    }
  }
  return *best;
}

auto grantor_order::record_unresponsive(const std::string& vm, milliseconds now) -> void {
  auto& silent = silent_[vm];
  auto pass_over = settings_.initial_backoff_ << std::min(silent.times_, most_doublings);
  silent.until_ = now + std::min(pass_over, settings_.max_backoff_);
  ++silent.times_;
}

}  // namespace birchlever

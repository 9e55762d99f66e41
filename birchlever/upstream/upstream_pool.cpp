#include "birchlever/upstream/upstream_pool.h"

#include <algorithm>
#include <random>

#include "birchlever/core/hashing.h"

namespace birchlever {

auto upstream_pool::add(const upstream_pointer& one) -> void {
  one->place_ = all_.size();
  all_.push_back(one);
  auto& hall = by_hall_[one->entry_.data_hall_];
  one->place_in_hall_ = hall.size();
  hall.push_back(one);
  ring_[hash_of(one->entry_.id_)] = one;
}

auto upstream_pool::remove(const upstream_pointer& one) -> void {
  all_[one->place_] = all_.back();
  all_[one->place_]->place_ = one->place_;
  all_.pop_back();
  auto& hall = by_hall_[one->entry_.data_hall_];
  hall[one->place_in_hall_] = hall.back();
  hall[one->place_in_hall_]->place_in_hall_ = one->place_in_hall_;
  hall.pop_back();
  ring_.erase(hash_of(one->entry_.id_));
  used_.erase(std::remove(used_.begin(), used_.end(), one), used_.end());
}

auto upstream_pool::note_used(const upstream_pointer& one) -> void {
  if (!sampled()) {
    return;
  }
  auto known = std::find(used_.begin(), used_.end(), one);
  if (known != used_.end()) {
    used_.erase(known);
  }
  used_.push_front(one);
  if (used_.size() > settings_.recently_used_) {
    used_.pop_back();
  }
}

auto upstream_pool::take(const upstream_pointer& one, std::vector<upstream_pointer>& into) const -> void {
  if (std::exchange(one->sampled_, samples_) != samples_) {
    into.push_back(one);
  }
}

auto upstream_pool::draw(const std::vector<upstream_pointer>& from, std::size_t count, std::uint64_t seed,
                         std::vector<upstream_pointer>& into) const -> void {
  auto random = std::minstd_rand{static_cast<std::uint32_t>(seed ^ (seed >> 32U))};
  for (auto drawn = std::size_t{0}; drawn < count && !from.empty(); ++drawn) {
    take(from[random() % from.size()], into);
  }
}

auto upstream_pool::sample(const std::string& hall, std::uint64_t seed) -> std::vector<upstream_pointer> {
  if (!sampled()) {
    return all_;
  }
  ++samples_;
  auto chosen = std::vector<upstream_pointer>{};
  chosen.reserve(settings_.recently_used_ + settings_.local_hall_ + settings_.any_hall_);
  for (const auto& one : used_) {
    take(one, chosen);
  }
  auto own = by_hall_.find(hall);
  if (own != by_hall_.end()) {
    draw(own->second, settings_.local_hall_, seed, chosen);
  }
  draw(all_, settings_.any_hall_, ~seed, chosen);
  return chosen;
}

auto upstream_pool::neighbours_of(const std::string& subject) const -> std::vector<upstream_pointer> {
  if (!sampled()) {
    return all_;
  }
  auto near = std::vector<upstream_pointer>{};
  auto next = ring_.lower_bound(hash_of(subject));
  while (near.size() < settings_.affinity_candidates_) {
    next = next == ring_.end() ? ring_.begin() : next;
    near.push_back(next->second);
    ++next;
  }
  return near;
}

}  // namespace birchlever

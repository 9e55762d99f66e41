#include "birchlever/upstream/upstream_pool.h"

#include <algorithm>
#include <random>

#include "birchlever/core/hashing.h"

namespace birchlever {

auto upstream_pool::add(const upstream_pointer& target) -> void {
  target->pool_index_ = all_.size();
  all_.push_back(target);
  auto& hall = by_hall_[target->entry_.data_hall_];
  target->hall_index_ = hall.size();
  hall.push_back(target);
  ring_[hash_of(target->entry_.id_)] = target;
}

auto upstream_pool::remove(const upstream_pointer& target) -> void {
  all_[target->pool_index_] = all_.back();
  all_[target->pool_index_]->pool_index_ = target->pool_index_;
  all_.pop_back();
  auto& hall = by_hall_[target->entry_.data_hall_];
  hall[target->hall_index_] = hall.back();
  hall[target->hall_index_]->hall_index_ = target->hall_index_;
  hall.pop_back();
  ring_.erase(hash_of(target->entry_.id_));
  recent_.erase(std::remove(recent_.begin(), recent_.end(), target), recent_.end());
}

auto upstream_pool::mark_used(const upstream_pointer& target) -> void {
  if (!sampled()) {
    return;
  }
  auto known = std::find(recent_.begin(), recent_.end(), target);
  if (known != recent_.end()) {
    recent_.erase(known);
  }
  recent_.push_front(target);
  if (recent_.size() > settings_.recently_used_) {
    recent_.pop_back();
  }
}

auto upstream_pool::append_once(const upstream_pointer& target, std::vector<upstream_pointer>& into) const
    -> void {
  if (std::exchange(target->sample_number_, sample_count_) != sample_count_) {
    into.push_back(target);
  }
}

auto upstream_pool::append_random(const std::vector<upstream_pointer>& from, std::size_t count,
                                  std::uint64_t seed, std::vector<upstream_pointer>& into) const -> void {
  auto random = std::minstd_rand{static_cast<std::uint32_t>(seed ^ (seed >> 32U))};
  for (auto attempt = std::size_t{0}; attempt < count && !from.empty(); ++attempt) {
    append_once(from[random() % from.size()], into);
  }
}

auto upstream_pool::sample(const std::string& hall, std::uint64_t seed) -> std::vector<upstream_pointer> {
  if (!sampled()) {
    return all_;
  }
  ++sample_count_;
  auto chosen = std::vector<upstream_pointer>{};
  chosen.reserve(settings_.recently_used_ + settings_.local_hall_ + settings_.any_hall_);
  for (const auto& target : recent_) {
    append_once(target, chosen);
  }
  auto local = by_hall_.find(hall);
  if (local != by_hall_.end()) {
    append_random(local->second, settings_.local_hall_, seed, chosen);
  }
  append_random(all_, settings_.any_hall_, ~seed, chosen);
  return chosen;
}

auto upstream_pool::ring_candidates(const std::string& key) const -> std::vector<upstream_pointer> {
  if (!sampled()) {
    return all_;
  }
  auto candidates = std::vector<upstream_pointer>{};
  auto next = ring_.lower_bound(hash_of(key));
  while (candidates.size() < settings_.affinity_candidates_) {
    next = next == ring_.end() ? ring_.begin() : next;
    candidates.push_back(next->second);
    ++next;
  }
  return candidates;
}

}  // namespace birchlever

#include "birchlever/controllers/peer_views.h"

#include <algorithm>

#include "birchlever/core/hashing.h"

namespace birchlever {

auto peer_views::record_state(peer_state said) -> void {
  auto vm = said.vm_;
  for (const auto& one : said.followers_) {
    note_follower(one);
  }
  if (said.follows_) {
    note_follower({vm, said.control_address_, said.cores_, 0});
  } else {
    followers_.erase(vm);
  }
  heard_[vm] = {std::move(said), clock_->now()};
}

auto peer_views::note_follower(const told_follower& told) -> void {
  auto at = clock_->now() - told.age_;
  auto known = followers_.find(told.vm_);
  if (told.vm_ != vm_ && (known == followers_.end() || known->second.at_ < at)) {
    followers_[told.vm_] = {told, at};
  }
}

auto peer_views::heard_at(const std::string& vm) const -> std::optional<milliseconds> {
  auto found = heard_.find(vm);
  return found == heard_.end() ? std::nullopt : std::optional{found->second.at_};
}

auto peer_views::preferred_for(std::string_view subject) const -> bool {
  auto now = clock_->now();
  auto own = rendezvous_weight(vm_, subject);
  return std::all_of(heard_.begin(), heard_.end(), [&](const auto& entry) {
    auto fresh = now - entry.second.at_ < fresh_;
    return !fresh || rendezvous_weight(entry.first, subject) < own;
  });
}

auto peer_views::find_peer_with_store_contact_since(milliseconds moment, const std::string& region) const
    -> const peer_state* {
  auto now = clock_->now();
  auto latest = moment;
  const auto* best = static_cast<const peer_state*>(nullptr);
  for (const auto& [vm, heard] : heard_) {
    auto elsewhere = !region.empty() && heard.state_.region_ != region;
    if (now - heard.at_ >= fresh_ || !heard.state_.store_response_age_ || elsewhere) {
      continue;
    }
    auto answered_at = heard.at_ - *heard.state_.store_response_age_;
    if (answered_at > latest) {
      latest = answered_at;
      best = &heard.state_;
    }
  }
  return best;
}

auto peer_views::running_elsewhere() const -> std::unordered_map<std::string, double> {
  auto now = clock_->now();
  auto total = std::unordered_map<std::string, double>{};
  for (const auto& [vm, heard] : heard_) {
    if (now - heard.at_ >= fresh_) {
      continue;
    }
    for (const auto& [upstream, running] : heard.state_.running_) {
      total[upstream] += running;
    }
  }
  return total;
}

auto peer_views::holder_of_allowance(int range) const -> std::optional<std::string> {
  const auto* newest = static_cast<const heard_state*>(nullptr);
  for (const auto& [vm, heard] : heard_) {
    auto holds = (heard.state_.allowance_ranges_ >> static_cast<unsigned>(range)) & 1U;
    if (holds != 0 && (newest == nullptr || heard.at_ > newest->at_)) {
      newest = &heard;
    }
  }
  return newest == nullptr ? std::nullopt : std::optional{newest->state_.control_address_};
}

auto peer_views::addresses_within(milliseconds span) const -> std::map<std::string, std::string> {
  auto addresses = std::map<std::string, std::string>{};
  auto now = clock_->now();
  for (const auto& [vm, heard] : heard_) {
    if (now - heard.at_ <= span) {
      addresses[vm] = heard.state_.control_address_;
    }
  }
  return addresses;
}

auto peer_views::followers_within(milliseconds span) const -> std::vector<told_follower> {
  auto lately = std::vector<told_follower>{};
  auto now = clock_->now();
  for (const auto& [vm, known] : followers_) {
    if (now - known.at_ <= span) {
      lately.push_back(known.told_);
      lately.back().age_ = now - known.at_;
    }
  }
  return lately;
}

auto peer_views::seen_within(milliseconds span) const -> std::size_t {
  auto now = clock_->now();
  return static_cast<std::size_t>(std::count_if(
      heard_.begin(), heard_.end(), [&](const auto& entry) { return now - entry.second.at_ < span; }));
}

auto peer_views::recent_peers() const -> std::size_t {
  return seen_within(fresh_);
}

}  // namespace birchlever

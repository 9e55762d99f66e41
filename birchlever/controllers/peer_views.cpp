#include "birchlever/controllers/peer_views.h"

#include <algorithm>
#include <utility>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto max_spent_reports =
    std::size_t{512};  // Taken every 100 ms; 80 messages per s with 8 rows each arrive on average.
constexpr auto max_new_speeds = std::size_t{2000};  // Messages of the largest fleet between two calls.

}  // namespace

auto peer_views::record_state(peer_state state) -> void {
  auto vm = state.vm_;
  for (const auto& follower : state.followers_) {
    record_follower(follower);
  }
  for (const auto& report : state.spent_) {
    if (spent_.size() >= max_spent_reports && spent_.count(report.program_) == 0) {
      break;  // A lost report costs a store call at most.
    }
    auto& tokens = spent_[report.program_];
    tokens = std::max(tokens, report.tokens_);
  }
  if (state.follows_) {
    record_follower({vm, state.control_address_, state.cores_, 0});
  } else {
    followers_.erase(vm);
  }
  record_speeds(state);
  states_[vm] = {std::move(state), clock_->now()};
}

auto peer_views::is_new_process(const peer_state& state) const -> bool {
  auto known = states_.find(state.vm_);
  return known == states_.end() || known->second.state_.incarnation_ != state.incarnation_;
}

auto peer_views::record_speeds(const peer_state& state) -> void {
  auto fresh = state.speeds_;
  auto previous = states_.find(state.vm_);
  if (previous != states_.end()) {
    const auto& known = previous->second.state_.speeds_;
    auto repeated = [&](const speed_report& row) {
      return std::find(known.begin(), known.end(), row) != known.end();
    };
    fresh.erase(std::remove_if(fresh.begin(), fresh.end(), repeated), fresh.end());
  }
  if (!fresh.empty() && new_speeds_.size() < max_new_speeds) {
    new_speeds_.push_back({state.vm_, std::move(fresh)});
  }
}

auto peer_views::take_speeds() -> std::vector<peer_speeds> {
  return std::exchange(new_speeds_, {});
}

auto peer_views::record_follower(const reported_follower& follower) -> void {
  auto at = clock_->now() - follower.age_;
  auto known = followers_.find(follower.vm_);
  if (follower.vm_ != vm_ && (known == followers_.end() || known->second.reported_at_ < at)) {
    followers_[follower.vm_] = {follower, at};
  }
}

auto peer_views::last_seen(const std::string& vm) const -> std::optional<milliseconds> {
  auto found = states_.find(vm);
  return found == states_.end() ? std::nullopt : std::optional{found->second.received_at_};
}

auto peer_views::preferred_for(std::string_view key) const -> bool {
  auto now = clock_->now();
  auto own = rendezvous_weight(vm_, key);
  return std::all_of(states_.begin(), states_.end(), [&](const auto& entry) {
    auto is_current = now - entry.second.received_at_ < max_age_;
    return !is_current || rendezvous_weight(entry.first, key) < own;
  });
}

auto peer_views::find_peer_with_store_contact_since(milliseconds time, const std::string& region) const
    -> const peer_state* {
  auto now = clock_->now();
  auto latest = time;
  const auto* best = static_cast<const peer_state*>(nullptr);
  for (const auto& [vm, received] : states_) {
    auto other_region = !region.empty() && received.state_.region_ != region;
    if (now - received.received_at_ >= max_age_ || !received.state_.store_response_age_ || other_region) {
      continue;
    }
    auto answered_at = received.received_at_ - *received.state_.store_response_age_;
    if (answered_at > latest) {
      latest = answered_at;
      best = &received.state_;
    }
  }
  return best;
}

auto peer_views::running_elsewhere() const -> std::unordered_map<std::string, double> {
  auto now = clock_->now();
  auto total = std::unordered_map<std::string, double>{};
  for (const auto& [vm, received] : states_) {
    if (now - received.received_at_ >= max_age_) {
      continue;
    }
    for (const auto& [upstream, running] : received.state_.running_) {
      total[upstream] += running;
    }
  }
  return total;
}

auto peer_views::holder_of_allowance(int range) const -> std::optional<std::string> {
  const auto* latest = static_cast<const received_state*>(nullptr);
  for (const auto& [vm, received] : states_) {
    auto holds = (received.state_.allowance_ranges_ >> static_cast<unsigned>(range)) & 1U;
    if (holds != 0 && (latest == nullptr || received.received_at_ > latest->received_at_)) {
      latest = &received;
    }
  }
  return latest == nullptr ? std::nullopt : std::optional{latest->state_.control_address_};
}

auto peer_views::addresses_within(milliseconds window) const -> std::map<std::string, std::string> {
  auto addresses = std::map<std::string, std::string>{};
  auto now = clock_->now();
  for (const auto& [vm, received] : states_) {
    if (now - received.received_at_ <= window) {
      addresses[vm] = received.state_.control_address_;
    }
  }
  return addresses;
}

auto peer_views::find_process(std::size_t index, milliseconds window, const std::string& region) const
    -> const peer_state* {
  auto now = clock_->now();
  auto matches = [&](const auto& entry) {
    const auto& state = entry.second.state_;
    auto in_region = region.empty() || state.region_ == region;
    return now - entry.second.received_at_ <= window && state.incarnation_ && in_region;
  };
  auto count = static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), matches));
  if (count == 0) {
    return nullptr;
  }
  auto found = std::find_if(states_.begin(), states_.end(), matches);
  for (auto left = index % count; left > 0; --left) {
    found = std::find_if(std::next(found), states_.end(), matches);
  }
  return &found->second.state_;
}

auto peer_views::followers_within(milliseconds window) const -> std::vector<reported_follower> {
  auto recent = std::vector<reported_follower>{};
  auto now = clock_->now();
  for (const auto& [vm, known] : followers_) {
    if (now - known.reported_at_ <= window) {
      recent.push_back(known.reported_);
      recent.back().age_ = now - known.reported_at_;
    }
  }
  return recent;
}

auto peer_views::take_spent_reports() -> std::vector<spent_report> {
  auto reports = std::vector<spent_report>{};
  reports.reserve(spent_.size());
  for (const auto& [program, tokens] : std::exchange(spent_, {})) {
    reports.push_back({program, tokens});
  }
  return reports;
}

auto peer_views::pressure_reports() const -> std::vector<aged_pressure_report> {
  auto reports = std::vector<aged_pressure_report>{};
  auto now = clock_->now();
  for (const auto& [vm, received] : states_) {
    auto age = now - received.received_at_;
    if (age < max_age_ && received.state_.pressure_) {
      reports.push_back({*received.state_.pressure_, age});
    }
  }
  return reports;
}

auto peer_views::seen_within(milliseconds window) const -> std::size_t {
  auto now = clock_->now();
  return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), [&](const auto& entry) {
    return now - entry.second.received_at_ < window;
  }));
}

auto peer_views::possibly_lost_peers(milliseconds window, milliseconds silence) const -> std::size_t {
  auto now = clock_->now();
  auto lost = std::count_if(states_.begin(), states_.end(), [&](const auto& entry) {
    auto age = now - entry.second.received_at_;
    const auto& uptime = entry.second.state_.uptime_;
    auto started = uptime && *uptime + age < window;
    auto silent = age > silence && age < window;
    return started || silent;
  });
  return static_cast<std::size_t>(lost);
}

auto peer_views::recent_peers() const -> std::size_t {
  return seen_within(max_age_);
}

}  // namespace birchlever

#include "birchlever/upstream/upstream_table.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto none = static_cast<std::size_t>(-1);
constexpr auto failures_until_suspect = 2;
constexpr auto suspect_ms = milliseconds{3000};
constexpr auto unreported_age_ms = 60000.0;
constexpr auto most_prefixes = std::size_t{65536};
constexpr auto explained_candidates = std::size_t{4};
constexpr auto most_holders = std::size_t{8};

auto drop_before(std::vector<milliseconds>& times, milliseconds limit) -> void {
  auto keep = std::lower_bound(times.begin(), times.end(), limit);
  times.erase(times.begin(), keep);
}

}  // namespace

auto upstream_table::index_of(const std::string& id) const -> std::size_t {
  auto found = index_.find(id);
  return found == index_.end() ? none : found->second;
}

auto upstream_table::set_upstreams(const std::vector<vm_entry>& entries, const std::set<std::string>& drained,
                                   const std::set<std::string>& drained_halls) -> void {
  auto lock = std::lock_guard{mutex_};
  services_.clear();
  for (auto& view : views_) {
    view.usable_ = false;
  }
  for (const auto& entry : entries) {
    auto barred =
        entry.leaving_ || drained.count(entry.id_) != 0 || drained_halls.count(entry.data_hall_) != 0;
    if (entry.kind_ == vm_kind::service && !barred) {
      services_.push_back(entry);
    }
    if (entry.kind_ != vm_kind::engine) {
      continue;
    }
    auto index = index_of(entry.id_);
    if (index == none) {
      index = known_.size();
      index_[entry.id_] = index;
      known_.emplace_back();
      views_.emplace_back();
      views_[index].id_ = entry.id_;
      views_[index].role_ = entry.role_;
      views_[index].models_ = entry.models_;
    }
    known_[index].entry_ = entry;
    views_[index].data_hall_ = entry.data_hall_;
    views_[index].usable_ = !barred;
  }
}

auto upstream_table::update_load(const load_report& fresh, milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(fresh.engine_);
  if (index == none) {
    return;
  }
  auto& view = views_[index];
  view.running_ = fresh.running_;
  view.queued_ = fresh.queued_;
  view.capacity_ = fresh.capacity_;
  view.cache_tokens_ = fresh.cache_tokens_;
  view.cache_capacity_ = fresh.cache_capacity_;
  view.models_ = fresh.models_;
  view.role_ = fresh.role_;
  auto& known = known_[index];
  known.reported_at_ = now;
  known.reported_lag_ = fresh.lag_ms_;
  auto seen_until = now - static_cast<milliseconds>(fresh.lag_ms_);
  drop_before(known.sent_, seen_until);
  drop_before(known.done_, seen_until);
}

auto upstream_table::clear_prefixes(const std::string& engine) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = static_cast<std::uint32_t>(index_of(engine));
  for (auto& [hash, holders] : prefix_holders_) {
    holders.erase(std::remove(holders.begin(), holders.end(), index), holders.end());
  }
}

auto upstream_table::refresh(milliseconds now) -> void {
  for (auto index = std::size_t{0}; index < views_.size(); ++index) {
    auto& known = known_[index];
    auto& view = views_[index];
    auto age = static_cast<double>(now - known.reported_at_) + known.reported_lag_;
    view.report_age_ms_ = known.reported_at_ < 0 ? unreported_age_ms : age;
    view.sent_since_report_ = static_cast<double>(known.sent_.size());
    view.done_since_report_ = static_cast<double>(known.done_.size());
  }
}

auto upstream_table::fill_cached(const placement_request& wish, std::vector<double>& cached) const -> void {
  cached.assign(views_.size(), 0.0);
  auto blocks = 0;
  for (auto hash : wish.prefix_hashes_) {
    ++blocks;
    auto found = prefix_holders_.find(hash);
    if (found == prefix_holders_.end()) {
      break;
    }
    for (auto holder : found->second) {
      cached[holder] = static_cast<double>(blocks * block_tokens);
    }
  }
  auto own = index_of(wish.last_upstream_);
  if (own != none) {
    cached[own] = std::max(cached[own], static_cast<double>(wish.last_prefix_tokens_));
  }
}

auto upstream_table::choose_service(const placement_request& wish) -> result<placement_result> {
  auto fitting = std::vector<const vm_entry*>{};
  for (const auto& entry : services_) {
    auto avoided = std::count(wish.call_.avoid_.begin(), wish.call_.avoid_.end(), entry.id_) != 0;
    if (entry.service_ == wish.service_ && !avoided) {
      fitting.push_back(&entry);
    }
  }
  if (fitting.empty()) {
    return error{error_code::unknown_service, "no VM of service '" + wish.service_ + "' is available",
                 ran_state::not_run, 1000};
  }
  auto chosen = placement_result{};
  chosen.upstream_ = *fitting[turn_++ % fitting.size()];
  return chosen;
}

auto upstream_table::choose(const policy_interface& policy, placement_request wish, milliseconds now)
    -> result<placement_result> {
  auto lock = std::lock_guard{mutex_};
  auto pick = [&] { return wish.service_.empty() ? choose_engine(policy, wish, now) : choose_service(wish); };
  auto chosen = pick();
  if (!ok(chosen) && !wish.call_.avoid_.empty()) {
    wish.call_.avoid_.clear();  // Retry an upstream that failed before rather than refusing the call.
    chosen = pick();
  }
  return chosen;
}

auto upstream_table::choose_engine(const policy_interface& policy, placement_request& wish, milliseconds now)
    -> result<placement_result> {
  refresh(now);
  auto suspects = std::vector<std::size_t>{};
  for (auto index = std::size_t{0}; index < views_.size(); ++index) {
    if (views_[index].usable_ && known_[index].suspect_until_ > now) {
      views_[index].usable_ = false;
      suspects.push_back(index);
    }
  }
  fill_cached(wish, wish.call_.cached_tokens_);
  wish.call_.seed_ = turn_++;
  auto chosen = policy.choose(wish.call_, views_);
  for (auto index : suspects) {
    views_[index].usable_ = true;
  }
  if (!ok(chosen) && !suspects.empty()) {
    chosen = policy.choose(wish.call_, views_);  // Use a suspected engine rather than refusing the call.
  }
  if (!ok(chosen)) {
    return failure(chosen);
  }
  return describe(std::move(value(chosen)));
}

auto upstream_table::describe(decision made) const -> placement_result {
  auto chosen = placement_result{known_[made.engine_].entry_, made.priority_, made.candidates_.size(), {}};
  auto shown = std::min(explained_candidates, made.candidates_.size());
  auto by_cost = [](const candidate& left, const candidate& right) { return left.cost_ < right.cost_; };
  auto middle = made.candidates_.begin() + static_cast<std::ptrdiff_t>(shown);
  std::partial_sort(made.candidates_.begin(), middle, made.candidates_.end(), by_cost);
  for (auto next = made.candidates_.begin(); next != middle; ++next) {
    chosen.top_candidates_.push_back({views_[next->engine_].id_, *next});
  }
  return chosen;
}

auto upstream_table::record_sent(const std::string& upstream, const std::vector<std::uint64_t>& prefix_hashes,
                                 milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(upstream);
  if (index == none) {
    return;
  }
  known_[index].sent_.push_back(now);
  if (prefix_holders_.size() > most_prefixes) {
    prefix_holders_.clear();  // Rebuilt quickly from traffic.
  }
  for (auto hash : prefix_hashes) {
    auto& holders = prefix_holders_[hash];
    auto engine = static_cast<std::uint32_t>(index);
    if (std::find(holders.begin(), holders.end(), engine) == holders.end()) {
      if (holders.size() >= most_holders) {
        holders.erase(holders.begin());
      }
      holders.push_back(engine);
    }
  }
}

auto upstream_table::record_finished(const std::string& upstream, bool failed, milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(upstream);
  if (index == none) {
    return;
  }
  auto& known = known_[index];
  known.done_.push_back(now);
  known.failures_ = failed ? known.failures_ + 1 : 0;
  if (known.failures_ >= failures_until_suspect) {
    known.suspect_until_ = now + suspect_ms;
  }
}

auto upstream_table::engines(milliseconds now) -> std::vector<engine_view> {
  auto lock = std::lock_guard{mutex_};
  refresh(now);
  return views_;
}

auto upstream_table::reports_of(const std::vector<std::string>& engines) const -> std::vector<load_report> {
  auto lock = std::lock_guard{mutex_};
  auto reports = std::vector<load_report>{};
  for (const auto& id : engines) {
    auto index = index_of(id);
    if (index == none || known_[index].reported_at_ < 0) {
      continue;
    }
    const auto& view = views_[index];
    reports.push_back({id, view.running_, view.queued_, view.capacity_, view.cache_tokens_,
                       view.cache_capacity_, known_[index].reported_lag_, view.models_, view.role_});
  }
  return reports;
}

}  // namespace birchlever

#include "birchlever/upstream/upstream_table.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto not_found = static_cast<std::size_t>(-1);
constexpr auto failures_until_suspect = 2;
constexpr auto suspect_ms = milliseconds{3000};
constexpr auto unreported_age_ms = 60000.0;
constexpr auto max_prefixes = std::size_t{65536};
constexpr auto max_top_candidates = std::size_t{4};
constexpr auto max_holders = std::size_t{8};

auto drop_before(std::vector<milliseconds>& times, milliseconds limit) -> void {
  auto keep = std::lower_bound(times.begin(), times.end(), limit);
  times.erase(times.begin(), keep);
}

}  // namespace

auto upstream_table::index_of(const std::string& id) const -> std::size_t {
  auto found = index_.find(id);
  return found == index_.end() ? not_found : found->second;
}

auto upstream_table::set_upstreams(const std::vector<vm_entry>& entries, const std::set<std::string>& drained,
                                   const std::set<std::string>& drained_halls) -> void {
  auto lock = std::lock_guard{mutex_};
  services_.clear();
  for (auto& view : views_) {
    view.usable_ = false;
  }
  for (const auto& entry : entries) {
    auto excluded =
        entry.leaving_ || drained.count(entry.id_) != 0 || drained_halls.count(entry.data_hall_) != 0;
    if (entry.kind_ == vm_kind::service && !excluded) {
      services_.push_back(entry);
    }
    if (entry.kind_ != vm_kind::engine) {
      continue;
    }
    auto index = index_of(entry.id_);
    if (index == not_found) {
      index = states_.size();
      index_[entry.id_] = index;
      states_.emplace_back();
      views_.emplace_back();
      views_[index].id_ = entry.id_;
      views_[index].role_ = entry.role_;
      views_[index].models_ = entry.models_;
    }
    states_[index].entry_ = entry;
    views_[index].data_hall_ = entry.data_hall_;
    views_[index].usable_ = !excluded;
  }
}

auto upstream_table::update_load(const load_report& report, milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(report.engine_);
  if (index == not_found) {
    return;
  }
  auto& view = views_[index];
  view.running_ = report.running_;
  view.queued_ = report.queued_;
  view.capacity_ = report.capacity_;
  view.cache_tokens_ = report.cache_tokens_;
  view.cache_capacity_ = report.cache_capacity_;
  view.models_ = report.models_;
  view.role_ = report.role_;
  auto& state = states_[index];
  state.reported_at_ = now;
  state.reported_lag_ = report.lag_ms_;
  auto seen_until = now - static_cast<milliseconds>(report.lag_ms_);
  drop_before(state.sent_, seen_until);
  drop_before(state.done_, seen_until);
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
    auto& state = states_[index];
    auto& view = views_[index];
    auto age = static_cast<double>(now - state.reported_at_) + state.reported_lag_;
    view.report_age_ms_ = state.reported_at_ < 0 ? unreported_age_ms : age;
    view.sent_since_report_ = static_cast<double>(state.sent_.size());
    view.done_since_report_ = static_cast<double>(state.done_.size());
  }
}

auto upstream_table::fill_cached(const placement_request& request, std::vector<double>& cached) const
    -> void {
  cached.assign(views_.size(), 0.0);
  auto blocks = 0;
  for (auto hash : request.prefix_hashes_) {
    ++blocks;
    auto found = prefix_holders_.find(hash);
    if (found == prefix_holders_.end()) {
      break;
    }
    for (auto holder : found->second) {
      cached[holder] = static_cast<double>(blocks * block_tokens);
    }
  }
  auto previous = index_of(request.last_upstream_);
  if (previous != not_found) {
    cached[previous] = std::max(cached[previous], static_cast<double>(request.last_prefix_tokens_));
  }
}

auto upstream_table::choose_service(const placement_request& request) -> result<placement_result> {
  auto available = std::vector<const vm_entry*>{};
  for (const auto& entry : services_) {
    auto avoided = std::count(request.call_.avoid_.begin(), request.call_.avoid_.end(), entry.id_) != 0;
    if (entry.service_ == request.service_ && !avoided) {
      available.push_back(&entry);
    }
  }
  if (available.empty()) {
    return error{error_code::unknown_service, "no VM of service '" + request.service_ + "' is available",
                 ran_state::not_run, 1000};
  }
  auto chosen = placement_result{};
  chosen.upstream_ = *available[next_seed_++ % available.size()];
  return chosen;
}

auto upstream_table::choose(const policy_interface& policy, placement_request request, milliseconds now)
    -> result<placement_result> {
  auto lock = std::lock_guard{mutex_};
  auto select = [&] {
    return request.service_.empty() ? choose_engine(policy, request, now) : choose_service(request);
  };
  auto chosen = select();
  if (!ok(chosen) && !request.call_.avoid_.empty()) {
    request.call_.avoid_.clear();  // Retry an upstream that failed before rather than refusing the call.
    chosen = select();
  }
  return chosen;
}

auto upstream_table::choose_engine(const policy_interface& policy, placement_request& request,
                                   milliseconds now) -> result<placement_result> {
  refresh(now);
  auto suspects = std::vector<std::size_t>{};
  for (auto index = std::size_t{0}; index < views_.size(); ++index) {
    if (views_[index].usable_ && states_[index].suspect_until_ > now) {
      views_[index].usable_ = false;
      suspects.push_back(index);
    }
  }
  fill_cached(request, request.call_.cached_tokens_);
  request.call_.seed_ = next_seed_++;
  auto chosen = policy.choose(request.call_, views_);
  for (auto index : suspects) {
    views_[index].usable_ = true;
  }
  if (!ok(chosen) && !suspects.empty()) {
    chosen = policy.choose(request.call_, views_);  // Use a suspected engine rather than refusing the call.
  }
  if (!ok(chosen)) {
    return failure(chosen);
  }
  return describe(std::move(value(chosen)));
}

auto upstream_table::describe(decision decided) const -> placement_result {
  auto chosen =
      placement_result{states_[decided.engine_].entry_, decided.priority_, decided.candidates_.size(), {}};
  auto count = std::min(max_top_candidates, decided.candidates_.size());
  auto by_cost = [](const candidate& left, const candidate& right) { return left.cost_ < right.cost_; };
  auto middle = decided.candidates_.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(decided.candidates_.begin(), middle, decided.candidates_.end(), by_cost);
  for (auto next = decided.candidates_.begin(); next != middle; ++next) {
    chosen.top_candidates_.push_back({views_[next->engine_].id_, *next});
  }
  return chosen;
}

auto upstream_table::record_sent(const std::string& upstream, const std::vector<std::uint64_t>& prefix_hashes,
                                 milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(upstream);
  if (index == not_found) {
    return;
  }
  states_[index].sent_.push_back(now);
  if (prefix_holders_.size() > max_prefixes) {
    prefix_holders_.clear();  // Rebuilt quickly from traffic.
  }
  for (auto hash : prefix_hashes) {
    auto& holders = prefix_holders_[hash];
    auto engine = static_cast<std::uint32_t>(index);
    if (std::find(holders.begin(), holders.end(), engine) == holders.end()) {
      if (holders.size() >= max_holders) {
        holders.erase(holders.begin());
      }
      holders.push_back(engine);
    }
  }
}

auto upstream_table::record_finished(const std::string& upstream, bool failed, milliseconds now) -> void {
  auto lock = std::lock_guard{mutex_};
  auto index = index_of(upstream);
  if (index == not_found) {
    return;
  }
  auto& state = states_[index];
  state.done_.push_back(now);
  state.failures_ = failed ? state.failures_ + 1 : 0;
  if (state.failures_ >= failures_until_suspect) {
    state.suspect_until_ = now + suspect_ms;
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
    if (index == not_found || states_[index].reported_at_ < 0) {
      continue;
    }
    const auto& view = views_[index];
    reports.push_back({id, view.running_, view.queued_, view.capacity_, view.cache_tokens_,
                       view.cache_capacity_, states_[index].reported_lag_, view.models_, view.role_});
  }
  return reports;
}

}  // namespace birchlever

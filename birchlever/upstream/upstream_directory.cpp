#include "birchlever/upstream/upstream_directory.h"

#include <algorithm>
#include <functional>

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto failures_until_avoided = 2;  // One failure may be the request's own bad luck.
constexpr auto retry_later_ms = milliseconds{300};

}  // namespace

upstream_directory::upstream_directory(upstream_directory_settings settings)
    : settings_{std::move(settings)} {}

auto upstream_directory::put(upstream_entry entry) -> void {
  auto& known = upstreams_[entry.id_];
  if (!known) {
    known = std::make_shared<upstream>(std::move(entry));
    log_event(log_level::info, "upstream_listed",
              {{"upstream", known->entry_.id_},
               {"service", known->entry_.service_},
               {"address", known->entry_.address_.address().to_string()},
               {"leaving", known->entry_.leaving_}});
    return;
  }
  if (known->entry_.leaving_ != entry.leaving_) {
    log_event(log_level::info, "upstream_changed", {{"upstream", entry.id_}, {"leaving", entry.leaving_}});
  }
  known->entry_ = std::move(entry);
}

auto upstream_directory::remove(const std::string& id) -> void {
  auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  log_event(log_level::info, "upstream_gone", {{"upstream", id}});
  found->second->listed_ = false;
  upstreams_.erase(found);
}

auto upstream_directory::ids() const -> std::vector<std::string> {
  auto all = std::vector<std::string>{};
  for (const auto& [id, one] : upstreams_) {
    all.push_back(id);
  }
  return all;
}

auto upstream_directory::find(const std::string& id) const -> upstream_pointer {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

auto upstream_directory::candidates(const upstream_wish& wish, bool also_avoided) const
    -> std::vector<upstream_pointer> {
  auto now = clock_.now();
  auto fitting = std::vector<upstream_pointer>{};
  for (const auto& [id, one] : upstreams_) {
    const auto& models = one->entry_.models_;
    auto has_model = wish.model_.empty() || models.empty() ||
                     std::find(models.begin(), models.end(), wish.model_) != models.end();
    auto usable = one->entry_.service_ == wish.service_ && !one->entry_.leaving_ && has_model &&
                  wish.excluded_.count(id) == 0;
    if (usable && (also_avoided || one->avoid_until_ <= now)) {
      fitting.push_back(one);
    }
  }
  return fitting;
}

auto upstream_directory::view_of(const upstream& one, const upstream_wish& wish) const -> engine_view {
  auto view = engine_view{};
  view.id_ = one.entry_.id_;
  view.data_hall_ = one.entry_.data_hall_;
  view.models_ = one.entry_.models_;
  view.capacity_ = static_cast<double>(std::max<std::int64_t>(one.entry_.slots_, 1));
  view.running_ = one.running_ + one.running_elsewhere_;
  if (one.full_until_ > clock_.now()) {
    view.running_ = std::max(view.running_, view.capacity_);
  }
  view.cache_tokens_ = static_cast<double>(one.cache_.tokens());
  view.cache_capacity_ = static_cast<double>(std::max<std::int64_t>(wish.cache_room_, 1));
  return view;
}

auto upstream_directory::choose(const policy_interface& policy, const upstream_wish& wish)
    -> result<upstream_choice> {
  auto fitting = candidates(wish, false);
  if (fitting.empty()) {
    fitting = candidates(wish, true);  // One that failed lately is better than a refusal.
  }
  if (fitting.empty()) {
    return error{error_code::no_upstream, "no upstream of the service takes this request now",
                 ran_state::not_run, retry_later_ms};
  }
  auto call = call_view{};
  call.model_ = wish.model_;
  call.data_hall_ = settings_.data_hall_;
  call.prompt_tokens_ = wish.prompt_tokens_;
  call.max_tokens_ = wish.most_tokens_;
  call.seed_ = wish.seed_;
  auto views = std::vector<engine_view>{};
  for (const auto& one : fitting) {
    views.push_back(view_of(*one, wish));
    auto held = one->cache_.held(wish.parts_);
    auto ran_last = one->entry_.id_ == wish.last_upstream_ && !wish.parts_.empty();
    if (ran_last) {
      held = std::max(held, wish.prompt_tokens_ - wish.parts_.back().tokens_);
    }
    call.cached_tokens_.push_back(static_cast<double>(held));
  }
  auto made = policy.choose(call, views);
  if (!ok(made)) {
    return failure(made);
  }
  auto chosen = upstream_choice{fitting[value(made).engine_], fitting.size()};
  chosen.held_tokens_ = static_cast<std::int64_t>(call.cached_tokens_[value(made).engine_]);
  return chosen;
}

auto upstream_directory::begin(upstream& one, const upstream_wish& wish) -> void {
  ++one.running_;
  if (!wish.parts_.empty()) {
    one.cache_.set_room(wish.cache_room_);
    one.cache_.used(wish.parts_);
  }
}

auto upstream_directory::end(upstream& one, upstream_evidence evidence) -> void {
  --one.running_;
  auto now = clock_.now();
  if (evidence == upstream_evidence::full) {
    one.full_until_ = now + settings_.full_memory_;
    return;
  }
  if (evidence == upstream_evidence::served) {
    one.failures_ = 0;
    one.avoid_until_ = 0;
    return;
  }
  ++one.failures_;
  if (one.failures_ < failures_until_avoided) {
    return;
  }
  auto doublings = std::min(one.failures_ - failures_until_avoided, 6);
  auto avoidance = std::min(settings_.first_avoidance_ << doublings, settings_.longest_avoidance_);
  one.avoid_until_ = now + avoidance;
  log_event(log_level::warning, "upstream_avoided",
            {{"upstream", one.entry_.id_}, {"failures", std::int64_t{one.failures_}}, {"for_ms", avoidance}});
}

auto upstream_directory::set_running_elsewhere(const std::string& id, double running) -> void {
  if (auto one = find(id)) {
    one->running_elsewhere_ = running;
  }
}

auto upstream_directory::each(const std::function<void(const upstream&)>& visit) const -> void {
  for (const auto& [id, one] : upstreams_) {
    visit(*one);
  }
}

}  // namespace birchlever

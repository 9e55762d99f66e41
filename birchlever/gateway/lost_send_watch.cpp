#include "birchlever/gateway/lost_send_watch.h"

#include <algorithm>

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/request_dialect.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto probe_poll_interval = milliseconds{5};

auto records_of(const lost_send& send, send_state state) -> std::vector<send_record> {
  auto incarnation = incarnation_of(send.target_->entry());
  auto age = steady_clock{}.now() - send.since_;
  return {{send.fingerprint_, incarnation, state, 1, age},
          {send.content_fingerprint_, incarnation, state, send.content_round_, age}};
}

auto record_in_background(std::shared_ptr<crash_register> crashes, std::vector<send_record> records)
    -> task<> {
  co_await crashes->record_all(std::move(records));
}

}  // namespace

lost_send_watch::lost_send_watch(gateway_context& context, std::shared_ptr<crash_register> crashes,
                                 const lost_send_settings& settings)
    : context_{&context}, crashes_{std::move(crashes)}, settings_{settings} {}

auto lost_send_watch::create(gateway_context& context, std::shared_ptr<crash_register> crashes,
                             const lost_send_settings& settings) -> std::shared_ptr<lost_send_watch> {
  return std::shared_ptr<lost_send_watch>{new lost_send_watch{context, std::move(crashes), settings}};
}

auto lost_send_watch::examine(lost_send send) -> task<std::optional<identity_state>> {
  auto self = shared_from_this();
  if (!send.closed_by_upstream_) {
    announce_unanswered(std::move(send));
    co_return std::nullopt;
  }
  if (many_daemons_lost()) {
    auto records = records_of(send, send_state::open);
    start(*context_->loop_, "record_open_send", record_in_background(crashes_, std::move(records)));
  }
  co_await pause_for(*context_->loop_, settings_.probe_delay_);
  if (replaced(send)) {
    auto crashes = records_of(send, send_state::crashed);
    co_await record_crash(std::move(send), std::move(crashes), "replaced");
    co_return std::nullopt;
  }
  auto state = identity_state::alive;
  if (send.target_->health().alive_at() < send.since_) {
    state = co_await probe(send.target_, send.since_);
  }
  context_->metrics_->count("lost_responses_total{port=\"" + std::string{name_of(state)} + "\"}");
  if (has_ended(state)) {
    auto evidence = state == identity_state::closed ? "port_closed" : "replaced";
    auto crashes = records_of(send, send_state::crashed);
    co_await record_crash(std::move(send), std::move(crashes), evidence);
    co_return state;
  }
  if (state == identity_state::alive) {
    settle(send, "alive");
  } else {
    auto records = records_of(send, send_state::open);
    co_await crashes_->record_all(std::move(records), record_wait::spread);
  }
  auto unknown = state != identity_state::alive;
  watch({std::move(send), unknown, false});
  co_return state;
}

auto lost_send_watch::announce_unanswered(lost_send send) -> void {
  auto records = records_of(send, send_state::open);
  crashes_->announce(records.front());
  // Callers that leave an upstream at work say nothing about the content.
  auto silent = send.target_->health().alive_at() < send.sent_at_;
  if (silent) {
    crashes_->announce(records.back());
  }
  auto watched = watched_send{std::move(send), false, false};
  store_if_due(watched);
  if (silent) {
    request_probe(watched);
  }
  watch(std::move(watched));
}

auto lost_send_watch::settle(const lost_send& send, const char* grounds) -> void {
  auto incarnation = incarnation_of(send.target_->entry());
  crashes_->settle(send.content_fingerprint_, incarnation);
  if (crashes_->settle(send.fingerprint_, incarnation)) {
    log_event(log_level::info, "lost_send_settled",
              {{"fingerprint", send.fingerprint_},
               {"upstream", incarnation},
               {"grounds", std::string{grounds}},
               {"after_ms", context_->clock_.now() - send.since_}});
  }
}

auto lost_send_watch::health_path_of(const upstream& target) const -> std::string {
  const auto* service =
      context_->configuration_ ? context_->configuration_->find_service(target.entry().service_) : nullptr;
  return service == nullptr ? std::string{} : service->health_path_;
}

auto lost_send_watch::run_probe(upstream_pointer target) -> task<> {
  auto incarnation = incarnation_of(target->entry());
  auto started_at = context_->clock_.now();
  probes_[incarnation] = {std::nullopt, started_at, 0};
  auto entry = target->entry();
  auto path = health_path_of(*target);
  auto state = co_await probe_identity(*context_->loop_, *context_->dialect_, std::move(entry),
                                       std::move(path), settings_.probe_limit_);
  if (state == identity_state::alive) {
    context_->upstreams_->record_alive(*target, started_at);
  }
  probes_[incarnation] = {state, started_at, context_->clock_.now()};
}

auto lost_send_watch::probe(upstream_pointer target, milliseconds since) -> task<identity_state> {
  auto incarnation = incarnation_of(target->entry());
  while (true) {
    auto known = probes_.find(incarnation);
    auto in_progress = known != probes_.end() && !known->second.state_;
    if (in_progress) {
      co_await pause_for(*context_->loop_, probe_poll_interval);
      continue;
    }
    if (known != probes_.end() && known->second.started_at_ >= since) {
      co_return *known->second.state_;
    }
    co_await run_probe(target);
  }
}

auto lost_send_watch::probe_in_background(upstream_pointer target) -> task<> {
  auto self = shared_from_this();
  co_await run_probe(std::move(target));
  --background_probes_;
}

auto lost_send_watch::remove_old_probes() -> void {
  auto now = context_->clock_.now();
  for (auto next = probes_.begin(); next != probes_.end();) {
    auto old = next->second.state_ && now - next->second.finished_at_ > 2 * settings_.probe_interval_;
    next = old ? probes_.erase(next) : std::next(next);
  }
}

auto lost_send_watch::replaced(const lost_send& send) const -> bool {
  const auto& entry = send.target_->entry();
  auto incarnation = incarnation_of(entry);
  auto listed = context_->upstreams_->find(entry.id_);
  if (listed && incarnation_of(listed->entry()) != incarnation) {
    return true;
  }
  auto at_address = context_->upstreams_->find_at(entry.address_);
  return at_address && incarnation_of(at_address->entry()) != incarnation &&
         at_address->known_since() >= send.since_;
}

auto lost_send_watch::late_crashes_of(const watched_send& watched) const -> std::vector<send_record> {
  auto crashes = records_of(watched.send_, send_state::crashed);
  // Content that was served since the loss, whoever sent it, did not end the upstream.
  const auto& content = crashes.back().fingerprint_;
  if (crashes_->history().served_since(content, watched.send_.since_)) {
    crashes.pop_back();
  }
  return crashes;
}

auto lost_send_watch::record_crash(lost_send send, std::vector<send_record> crashes, const char* evidence)
    -> task<> {
  auto self = shared_from_this();
  auto incarnation = incarnation_of(send.target_->entry());
  auto started_at = context_->clock_.now();
  auto stored = co_await crashes_->record_all(std::move(crashes), record_wait::spread);
  context_->metrics_->count("upstream_crashes_total{evidence=\"" + std::string{evidence} + "\"}");
  log_event(log_level::warning, "upstream_ended_under_request",
            {{"fingerprint", send.fingerprint_},
             {"content", send.content_fingerprint_},
             {"upstream", incarnation},
             {"evidence", std::string{evidence}},
             {"crashes", std::int64_t{crashes_->history().crashes(send.fingerprint_)}},
             {"stored", stored},
             {"took_ms", context_->clock_.now() - started_at}});
}

auto lost_send_watch::watch(watched_send watched) -> void {
  if (watched_.size() >= settings_.max_watched_) {
    const auto& oldest = watched_.front().send_;
    log_event(log_level::warning, "lost_send_unwatched",
              {{"fingerprint", oldest.fingerprint_}, {"upstream", incarnation_of(oldest.target_->entry())}});
    watched_.pop_front();
  }
  watched_.push_back(std::move(watched));
  if (!std::exchange(watching_, true)) {
    start(*context_->loop_, "watch_lost_sends", check_watched());
  }
}

auto lost_send_watch::check_watched() -> task<> {
  auto self = shared_from_this();
  while (!watched_.empty()) {
    co_await pause_for(*context_->loop_, settings_.watch_interval_);
    for (auto left = watched_.size(); left > 0 && !watched_.empty(); --left) {
      auto watched = std::move(watched_.front());
      watched_.pop_front();
      if (!resolve(watched)) {
        watched_.push_back(std::move(watched));
      }
    }
    remove_old_probes();
  }
  watching_ = false;
}

auto lost_send_watch::end_evidence(const lost_send& send) const -> const char* {
  if (replaced(send)) {
    return "replaced";
  }
  auto probed = probes_.find(incarnation_of(send.target_->entry()));
  auto usable = probed != probes_.end() && probed->second.state_ && probed->second.started_at_ >= send.since_;
  if (usable && has_ended(*probed->second.state_)) {
    return *probed->second.state_ == identity_state::closed ? "port_closed_later" : "replaced";
  }
  auto listed = context_->upstreams_->find(send.target_->entry().id_) != nullptr;
  auto unlisted_for_long = !listed && context_->clock_.now() - send.since_ > settings_.unlisted_after_;
  return unlisted_for_long && send.target_->health().alive_at() < send.since_ ? "unlisted" : nullptr;
}

auto lost_send_watch::resolve(watched_send& watched) -> bool {
  const auto& send = watched.send_;
  auto now = context_->clock_.now();
  if (const auto* evidence = end_evidence(send)) {
    start(*context_->loop_, "record_crash", record_crash(send, late_crashes_of(watched), evidence));
    return true;
  }
  auto over = now >= send.may_run_until_;
  // A connection that broke mostly ends the request with it.
  auto needed = send.closed_by_upstream_ ? send.since_ : std::max(send.since_, send.may_run_until_);
  auto survived = send.target_->health().alive_at() >= needed;
  if (survived) {
    settle(send, "alive");
  } else if (send.target_->health().alive_at() >= send.since_) {
    crashes_->settle(send.content_fingerprint_, incarnation_of(send.target_->entry()));
  }
  // A process that ends may answer for a moment after it closed connections.
  auto probe_again = send.closed_by_upstream_ && !watched.probed_again_;
  if (survived && over && !probe_again) {
    return true;
  }
  if (probe_again || (!survived && over)) {
    request_probe(watched);
  }
  if (!survived) {
    store_if_due(watched);
  }
  return now - send.since_ > settings_.watch_duration_;
}

auto lost_send_watch::store_if_due(watched_send& watched) -> void {
  const auto& send = watched.send_;
  auto waited = context_->clock_.now() - send.since_ >= settings_.store_after_;
  if (watched.stored_ || (!waited && !many_daemons_lost())) {
    return;
  }
  watched.stored_ = true;
  auto records = records_of(send, send_state::open);
  auto alive = send.target_->health().alive_at() >= send.since_;
  if (alive) {
    records.pop_back();  // It does not count for the content then.
  }
  start(*context_->loop_, "record_open_send", record_in_background(crashes_, std::move(records)));
}

auto lost_send_watch::request_probe(watched_send& watched) -> void {
  const auto& send = watched.send_;
  auto known = probes_.find(incarnation_of(send.target_->entry()));
  if (known != probes_.end()) {
    auto after_first = known->second.started_at_ - send.since_ >= settings_.watch_interval_ / 2;
    watched.probed_again_ = watched.probed_again_ || after_first;
    auto recent = context_->clock_.now() - known->second.started_at_ < settings_.probe_interval_;
    if (!known->second.state_ || (watched.probed_again_ && recent)) {
      return;
    }
  }
  if (background_probes_ < settings_.max_probes_) {
    watched.probed_again_ = true;
    ++background_probes_;
    start(*context_->loop_, "probe_upstream", probe_in_background(send.target_));
  }
}

}  // namespace birchlever

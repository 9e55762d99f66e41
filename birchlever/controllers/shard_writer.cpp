#include "birchlever/controllers/shard_writer.h"

#include <algorithm>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto ticks_per_renewal = 4;

}  // namespace

shard_writer::shard_writer(caf::actor_config& config, std::shared_ptr<daemon_context> context, int shard,
                           std::shared_ptr<lease_validity> validity, caf::actor controller)
    : caf::event_based_actor{config},
      context_{std::move(context)},
      shard_{shard},
      validity_{std::move(validity)},
      controller_{std::move(controller)} {
  auto settings = lease_settings{};
  settings.duration_ = context_->settings_.lease_ms_;
  settings.margin_ = context_->settings_.lease_margin_ms_;
  settings.renew_interval_ = context_->settings_.lease_renew_ms_;
  settings.rank_step_ = std::max<milliseconds>(50, context_->settings_.lease_margin_ms_ / 2);
  auto created = lease::create(settings, shard_, context_->instance_id_, context_->peer_address_,
                               context_->store_, context_->clock_);
  if (ok(created)) {
    lease_.emplace(std::move(value(created)));
  }
}

auto shard_writer::make_behavior() -> caf::behavior {
  send(this, tick_atom::value);
  return {
      [this](observed_atom, const shared<observed_message>& observed) { observe(*observed); },
      [this](tick_atom) {
        maintain_lease();
        auto interval = context_->settings_.lease_renew_ms_ / ticks_per_renewal;
        delayed_send(this, std::chrono::milliseconds{std::max<std::int64_t>(10, interval)}, tick_atom::value);
      },
      [this](append_atom, const shared<append_message>& message) { append(*message); },
      [this](flush_atom) { flush(); },
      [this](snapshot_atom, const shared<journal_snapshot>& snapshot) { write_snapshot(snapshot); },
      [this](hand_over_atom, const std::string& successor) { hand_over(successor); },
      [this](stop_atom) {
        controller_ = nullptr;
        quit();
      },
  };
}

auto shard_writer::publish_validity() -> void {
  validity_->until_ = lease_->valid_until();
  validity_->held_ = lease_->held();
}

auto shard_writer::observe(const observed_message& observed) -> void {
  auto was_held = journal_.has_value();
  lease_->observe(observed.row_);
  rank_ = observed.rank_;
  ready_to_own_ = rank_ >= 0;
  context_->fleet_->set_claim(shard_, lease_->claim());
  if (was_held && !lease_->holding()) {
    drop_shard("another process holds the lease");
    return;
  }
  if (!was_held) {
    try_take_over();
  }
}

auto shard_writer::maintain_lease() -> void {
  if (!journal_) {
    try_take_over();
    return;
  }
  if (lease_->renewal_due()) {
    auto renewed = lease_->renew();
    if (!ok(renewed)) {
      log_failure(log_level::warning, "lease_renewal_failed", failure(renewed));
      context_->metrics_->count("lease_renewal_failures_total");
    }
  }
  publish_validity();
  if (!lease_->held()) {
    drop_shard("lease ran out");
  }
}

auto shard_writer::try_take_over() -> void {
  // A stopping daemon takes over a shard only to settle its own last calls, e.g. when the entire fleet stops.
  auto leaving = context_->stopping_ && context_->calls_in_flight_ == 0;
  if (!ready_to_own_ || leaving || !lease_->can_acquire(rank_)) {
    return;
  }
  auto started_at = context_->clock_->now();
  auto acquired = lease_->acquire();
  if (!ok(acquired)) {
    return;
  }
  auto created = journal::create(journal_settings{}, shard_, lease_->fence_version(), context_->store_);
  journal_.emplace(std::move(value(created)));
  auto found = journal_->recover();
  while (!ok(found) && lease_->held()) {
    log_failure(log_level::warning, "recovery_retry", failure(found));
    journal_.emplace(
        value(journal::create(journal_settings{}, shard_, lease_->fence_version(), context_->store_)));
    if (lease_->renewal_due()) {
      (void)lease_->renew();
    }
    found = journal_->recover();
  }
  if (!ok(found)) {
    drop_shard("recovery did not finish within the lease");
    return;
  }
  publish_validity();
  auto recovered = std::make_shared<recovered_message>();
  recovered->epoch_ = lease_->epoch();
  recovered->recovery_ = std::move(value(found));
  recovered->took_ms_ = context_->clock_->now() - started_at;
  context_->fleet_->set_claim(shard_, lease_->claim());
  context_->metrics_->count("takeovers_total");
  log_event(log_level::info, "shard_taken_over",
            {{"shard", std::int64_t{shard_}},
             {"epoch", lease_->epoch()},
             {"rows", recovered->recovery_.rows_},
             {"reads", recovered->recovery_.reads_},
             {"took_ms", recovered->took_ms_}});
  send(controller_, recovered_atom::value, shared<recovered_message>{recovered});
}

auto shard_writer::append(const append_message& message) -> void {
  if (!journal_) {
    return;  // The controller is notified of the loss and fails the waiting calls.
  }
  pending_.insert(pending_.end(), message.records_.begin(), message.records_.end());
  pending_batch_ = message.batch_;
  schedule_flush();
}

auto shard_writer::schedule_flush() -> void {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  auto due = committed_at_ + context_->settings_.commit_gap_ms_ - context_->clock_->now();
  if (due <= 0) {
    send(this, flush_atom::value);
  } else {
    delayed_send(this, std::chrono::milliseconds{due}, flush_atom::value);
  }
}

auto shard_writer::flush() -> void {
  flush_scheduled_ = false;
  if (!journal_ || pending_batch_ == 0) {
    return;
  }
  auto batch = std::exchange(pending_batch_, 0);
  auto records = std::exchange(pending_, {});
  if (!records.empty()) {
    auto started_at = context_->clock_->now();
    committed_at_ = started_at;
    auto renew_lease = [this] {
      if (lease_->renewal_due()) {
        (void)lease_->renew();
        publish_validity();
      }
      return lease_->held();
    };
    auto outcome = journal_->commit(records, renew_lease);
    if (!ok(outcome)) {
      log_failure(log_level::warning, "journal_commit_failed", failure(outcome));
      drop_shard("journal could not be written");
      return;
    }
    context_->metrics_->observe("journal_commit_ms",
                                static_cast<double>(context_->clock_->now() - started_at));
    context_->metrics_->count("journal_commits_total");
    context_->metrics_->count("journal_records_total", static_cast<std::int64_t>(records.size()));
  }
  auto committed = std::make_shared<committed_message>();
  committed->batch_ = batch;
  committed->sequence_ = journal_->last_sequence();
  send(controller_, committed_atom::value, shared<committed_message>{committed});
}

auto shard_writer::write_snapshot(const std::shared_ptr<const journal_snapshot>& snapshot) -> void {
  if (!journal_) {
    return;
  }
  auto written = journal_->write_snapshot(*snapshot);
  if (!ok(written)) {
    log_failure(log_level::warning, "snapshot_failed", failure(written));
    return;
  }
  context_->metrics_->count("snapshots_total");
  send(controller_, snapshot_atom::value, snapshot);
}

auto shard_writer::hand_over(const std::string& successor) -> void {
  if (!journal_) {
    return;
  }
  flush();
  if (!journal_) {
    return;
  }
  auto released = lease_->release(successor);
  if (!ok(released)) {
    log_failure(log_level::warning, "lease_release_failed", failure(released));
  }
  drop_shard("handed over");
}

auto shard_writer::drop_shard(const char* reason) -> void {
  validity_->held_ = false;
  validity_->until_ = 0;
  journal_.reset();
  lease_->abandon();
  pending_.clear();
  pending_batch_ = 0;
  log_event(log_level::info, "shard_lost",
            {{"shard", std::int64_t{shard_}}, {"reason", std::string{reason}}});
  send(controller_, lost_atom::value);
}

}  // namespace birchlever

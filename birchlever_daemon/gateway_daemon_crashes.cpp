/// The part of gateway_daemon that judges what it can know of upstreams that ended under requests: which
/// daemons may have been lost with what only they knew, and which hear of its sends.
#include "birchlever/controllers/crash_register.h"
#include "birchlever/gateway/crash_guard.h"
#include "birchlever/telemetry/log.h"
#include "birchlever_daemon/gateway_daemon.h"
#include "platform/store_client.h"

namespace birchlever {
namespace {

constexpr auto loss_check_interval = milliseconds{250};
// Time within which the attempts of one piece of work follow each other.
constexpr auto crash_memory = milliseconds{30000};
constexpr auto missed_messages = std::int64_t{6};  // Of a peer, after which it may have ended.
// Of each peer, within which it is heard unless the connection to it is cut.
constexpr auto contact_messages = std::int64_t{3};
constexpr auto majority = 0.5;  // Of the fleet; exactly half is no majority.
// Of the fleet. A running send is not likely to be lost with its daemon while fewer daemons are lost.
constexpr auto mass_loss_share = 0.25;

}  // namespace

auto gateway_daemon::track_crashes() -> void {
  auto owns = [this](const std::string& fingerprint) {
    return !peers_ || peers_->views().preferred_for(fingerprint);
  };
  crashes_ = crash_register::create(loop_, store_, {}, owns);
  context_->crash_guard_ = crash_guard::create(*context_, crashes_, {});
  context_->crash_guard_->set_loss_check([this] { return daemon_loss_possible_; });
  context_->crash_guard_->set_mass_loss_check([this] { return mass_loss_possible_; });
  context_->crash_guard_->set_contact_check([this] { return contact_with_peers(); });
  start(loop_, "watch_daemon_loss", watch_daemon_loss());
  if (peers_) {
    crashes_->on_publish([this](const send_record& record) { peers_->publish(record); });
    peers_->on_peer_started([this] { return crashes_->known_records(); });
    peers_->on_send_record([this](const send_record& record) { crashes_->apply_peer_record(record); });
  }
}

auto gateway_daemon::watch_daemon_loss() -> task<> {
  while (true) {
    note_contact();
    note_loss(possibly_lost_daemons());
    co_await pause_for(loop_, loss_check_interval);
  }
}

auto gateway_daemon::note_loss(std::size_t lost) -> void {
  auto fleet = 1 + (peers_ ? peers_->listed_peers() : 0);
  auto possible = lost > 0;
  auto mass_loss = static_cast<double>(lost) >= mass_loss_share * static_cast<double>(fleet);
  auto changed = possible != daemon_loss_possible_ || mass_loss != mass_loss_possible_;
  daemon_loss_possible_ = possible;
  mass_loss_possible_ = mass_loss;
  if (!changed) {
    return;
  }
  log_event(log_level::info, "crash_limit_changed",
            {{"daemon_loss_possible", possible},
             {"mass_loss_possible", mass_loss},
             {"possibly_lost", static_cast<std::int64_t>(lost)},
             {"daemons", static_cast<std::int64_t>(fleet)},
             {"limit", std::int64_t{context_->crash_guard_->max_crashes()}},
             {"uptime_ms", context_->clock_.now() - joined_at_}});
}

auto gateway_daemon::possibly_lost_daemons() const -> std::size_t {
  // An earlier process of this daemon may have ended.
  auto restarted = settings_.first_start_ == 0 && context_->clock_.now() - joined_at_ < crash_memory;
  auto own = std::size_t{restarted ? 1U : 0U};
  if (!peers_) {
    return own;
  }
  auto silence = missed_messages * message_gap();
  return own + peers_->views().possibly_lost_peers(crash_memory + silence, silence);
}

auto gateway_daemon::message_gap() const -> milliseconds {
  const auto& settings = peers_->settings();
  auto fleet_per_message = static_cast<milliseconds>(peers_->listed_peers()) / settings.max_receivers_ + 1;
  return settings.send_interval_ * fleet_per_message;
}

auto gateway_daemon::contact_with_peers() const -> peer_contact {
  if (!peers_) {
    return peer_contact::all;
  }
  auto share = reachable_share(reachability_within(contact_messages * message_gap()));
  if (share >= 1) {
    return peer_contact::all;
  }
  return share > majority ? peer_contact::most : peer_contact::few;
}

auto gateway_daemon::note_contact() -> void {
  auto contact = contact_with_peers();
  if (std::exchange(logged_contact_, contact) == contact) {
    return;
  }
  auto heard = reachability_within(contact_messages * message_gap());
  log_event(log_level::info, "peer_contact_changed",
            {{"contact", std::string{name_of(contact)}},
             {"peers_heard", static_cast<std::int64_t>(heard.seen_)},
             {"peers", static_cast<std::int64_t>(heard.live_)},
             {"window_ms", heard.window_}});
}

}  // namespace birchlever

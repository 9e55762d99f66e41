/// The gateway: one process on one event loop that serves callers through the platform's store.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "birchlever/accounts/reachable_share.h"
#include "birchlever/controllers/peer_exchange.h"
#include "birchlever/controllers/table_follower.h"
#include "birchlever/controllers/upstream_follower.h"
#include "birchlever/gateway/crash_guard.h"
#include "birchlever/gateway/gateway_server.h"
#include "birchlever/gateway/gateway_settings.h"

namespace birchlever {

class allowance_ranges;
class metrics;
class central_grants;
class crash_register;
class budget_transfer;
class peer_feed;
class program_sweeper;

namespace platform {
class store_client;
}

/// Built from checked settings; runs until SIGTERM or SIGINT has been carried out.
class gateway_daemon {
 public:
  /// Opens the ports and starts to follow the store. `settings_file` is read again on SIGHUP and when it
  /// differs from `settings_text`, which the settings come from. Failures: invalid_setting,
  /// address_unavailable.
  static auto create(const gateway_settings& settings, const std::string& settings_file,
                     const std::string& settings_text) -> result<std::unique_ptr<gateway_daemon>>;

  ~gateway_daemon();

  /// Serves until stopped. True when every request under way was finished.
  auto run() -> bool;

 private:
  gateway_daemon(const gateway_settings& settings, std::string settings_file, std::string settings_text);

  auto open() -> status;
  auto open_ports() -> status;
  auto load_policies() -> status;
  auto limit_connections() -> void;
  auto follow_store() -> void;
  auto take_configuration(const stored_row& row) -> void;
  auto take_closures(const std::vector<stored_row>& rows, bool whole_table) -> void;
  auto watch_freshness() -> void;
  auto renew_configuration() -> task<>;
  auto keep_allotments() -> status;
  auto allotment_share() const -> double;
  /// Returns what this daemon heard of its peers within `window` ms.
  [[nodiscard]] auto reachability_within(milliseconds window) const -> peer_reachability;
  /// Returns the mean time between two messages of a peer in ms: each goes to a sample of a large fleet.
  [[nodiscard]] auto message_gap() const -> milliseconds;
  [[nodiscard]] auto contact_with_peers() const -> peer_contact;
  auto join_peers() -> status;
  auto sweep_programs() -> status;
  auto kept_after_change() const -> milliseconds;
  auto hold_allowances() -> status;
  auto track_crashes() -> void;
  auto watch_daemon_loss() -> task<>;
  /// Returns the number of daemons, this one included, that may have ended a short time ago.
  [[nodiscard]] auto possibly_lost_daemons() const -> std::size_t;
  auto note_loss(std::size_t lost) -> void;
  /// Logs a change of the contact with peers.
  auto note_contact() -> void;
  auto share_upstream_feed() -> void;
  auto incarnation_name() const -> std::string;
  /// Returns the name of a peer's process that can witness leases; none if there is none.
  auto choose_process() -> std::optional<std::string>;
  auto describe_self() const -> peer_state;
  auto follow_peers() -> task<>;
  auto enable_admission() -> void;
  auto watch_pressure() -> task<>;
  auto sample_pressure(bool with_services) -> void;
  /// Returns the loads of the services that routes with stored histories use.
  [[nodiscard]] auto program_service_loads() const -> std::map<std::string, service_load>;
  /// Adds the gauges of learned speeds, for which all upstreams are visited.
  auto add_speed_gauges(metrics& counters) const -> void;
  auto relay_through() const -> std::optional<asio::ip::tcp::endpoint>;
  auto ready() const -> bool;
  auto readiness_page(const http_request& request) const -> task<http_response>;
  auto control_page(const http_request& request) -> task<http_response>;
  auto metrics_page() -> http_response;
  auto wait_for_stop() -> task<>;
  auto wait_for_reload() -> task<>;
  auto keep_house() -> task<>;
  auto log_usage() -> void;
  /// Returns the text of the settings file; none if there is no file, or if it is not whole, which is logged
  /// once.
  auto read_settings_text() -> std::optional<std::string>;
  auto reload(const std::string& text, const char* cause) -> void;
  auto stop() -> task<>;

  gateway_settings settings_;
  std::string settings_file_;
  std::string settings_text_;   ///< Of the file when it was last whole.
  std::string settings_fault_;  ///< Why the file is not whole now; empty if it is.
  std::uint32_t incarnation_;   ///< Drawn at each start: what an earlier process drew of budgets is not here.
  std::minstd_rand random_;     ///< For the choice of witnesses.
  event_loop loop_{1};
  asio::signal_set stop_signals_;
  asio::signal_set reload_signals_;
  std::shared_ptr<gateway_context> context_;
  std::shared_ptr<platform::store_client> store_;
  std::shared_ptr<table_follower> configuration_follower_;
  std::shared_ptr<upstream_follower> upstream_follower_;
  std::shared_ptr<peer_exchange> peers_;              ///< None when no port for peers is set.
  std::shared_ptr<peer_feed> upstream_feed_;          ///< None without peers.
  std::shared_ptr<allowance_ranges> allowances_;      ///< None when they are switched off.
  std::shared_ptr<budget_transfer> budget_transfer_;  ///< None without peers.
  std::shared_ptr<central_grants> grants_;            ///< None without peers, or where they are switched off.
  milliseconds joined_at_ = 0;                        ///< When this daemon began to listen to peers.
  std::shared_ptr<program_sweeper> sweeper_;
  std::shared_ptr<crash_register> crashes_;
  std::shared_ptr<gateway_server> server_;
  std::shared_ptr<http_listener> readiness_listener_;
  std::shared_ptr<http_listener> control_listener_;
  hall_regions regions_;
  std::set<std::string> closed_halls_;  ///< Operators want no request there.
  std::int64_t logged_calls_ = 0;
  bool daemon_loss_possible_ = true;  ///< A daemon may have ended with crashes that only it knew.
  bool mass_loss_possible_ = true;    ///< A large part of the fleet may have ended a short time ago.
  peer_contact logged_contact_ = peer_contact::all;
  bool announced_ready_ = false;
  bool finished_all_ = true;
};

}  // namespace birchlever

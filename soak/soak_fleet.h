/// Gateways as processes, each with its own way to the store, before stand-ins in the soak's own process.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "soak/row_store_server.h"
#include "soak/tcp_proxy.h"
#include "soak/upstream_stand_in.h"
#include "test_processes/child_process.h"

namespace birchlever::soak {

/// One gateway process and what the soak knows of it.
struct gateway_process {
  int number_ = 0;
  std::unique_ptr<test_processes::child_process> process_;  ///< Null while none is meant to run.
  std::shared_ptr<tcp_proxy> store_link_;
  bool ready_ = false;     ///< By the last looks, as a balancer makes them.
  bool answered_ = false;  ///< The process answered a look, so its main function runs.
  int misses_ = 0;         ///< Looks in a row without a good answer.
  bool paused_ = false;
  bool over_memory_ = false;         ///< Noted already.
  bool debug_ = false;               ///< Logs at level debug.
  milliseconds stopping_since_ = 0;  ///< 0 while no planned stop is under way.
};

/// Ends only processes that it started, by their ids.
class soak_fleet {
 public:
  /// Starts stand-ins and gateways. Failures: invalid_setting.
  static auto create(event_loop& loop, const soak_settings& settings, soak_ledger& ledger)
      -> result<std::unique_ptr<soak_fleet>>;

  ~soak_fleet();
  soak_fleet(const soak_fleet&) = delete;
  auto operator=(const soak_fleet&) -> soak_fleet& = delete;

  /// Starts the process of a gateway that is not running.
  auto start_gateway(int number) -> void;

  /// Sends a signal to a gateway's process, if it has one.
  auto signal_gateway(int number, int signal) -> void;

  /// Sends a signal to a gateway whose process has answered a look. Until its main function runs, signals
  /// have their default actions.
  auto signal_if_answered(int number, int signal) -> void;

  /// Kills a gateway's process and waits for its end.
  auto kill_gateway(int number) -> void;

  /// True when a process that was told to stop has ended.
  auto reap(int number) -> bool;

  /// Notes each process that ended although nothing asked it to, and starts it again as the platform does.
  auto watch_processes() -> task<>;

  /// Tells all gateways to stop at once and waits for their ends. Callers keep their connections.
  auto stop_all() -> task<>;

  /// Writes another settings file for a gateway.
  auto change_settings(int number) -> void;

  /// Writes the first `share`, 0 to 1, of a gateway's settings file.
  auto write_settings(int number, double share) -> void;

  /// Asks every gateway whether it is ready, again and again; ends with the soak.
  auto look_at_all() -> task<>;

  /// The address for callers of a gateway that a balancer would use.
  auto pick_gateway(std::uint64_t draw) const -> int;

  [[nodiscard]] auto caller_address(int number) const -> std::string;
  [[nodiscard]] auto gateways() -> std::vector<gateway_process>& { return gateways_; }
  [[nodiscard]] auto upstreams() -> std::vector<std::unique_ptr<upstream_stand_in>>& { return upstreams_; }
  [[nodiscard]] auto rows() -> memory_row_store& { return *rows_; }

  /// The links before the upstreams; none in runs whose fault set has no silent connections.
  [[nodiscard]] auto upstream_links() -> std::vector<std::shared_ptr<tcp_proxy>>& { return upstream_links_; }

  /// Starts and lists one more upstream. Failures: invalid_setting.
  auto add_upstream(bool engine) -> status;

  /// Takes an upstream that ended off the list after a while, and starts another one in its place.
  auto replace_upstream(upstream_identity ended) -> task<>;

  /// Returns when an upstream last ended under a request, on the soak's clock; 0 if none did.
  [[nodiscard]] auto last_end_at() const -> milliseconds { return last_end_at_; }

  /// Lists an upstream as leaving, or takes it off the list.
  auto list_upstream(const upstream_identity& identity, bool leaving) -> void;
  auto unlist_upstream(const std::string& id) -> void;

  /// Puts a configuration in force; each has one more route, `/extra-VERSION/`, of the plain service, and a
  /// spare key in place of the one before.
  auto configure(int version) -> void;

  /// The newest configuration's version.
  [[nodiscard]] auto version() const -> int { return version_; }

 private:
  soak_fleet(event_loop& loop, const soak_settings& settings, soak_ledger& ledger);

  auto open() -> status;
  auto open_store() -> status;
  /// Puts a link before an upstream and returns its address. Failures: invalid_setting.
  auto add_link(int upstream, const std::string& target) -> result<std::string>;
  [[nodiscard]] auto address(int last, int port) const -> std::string;
  [[nodiscard]] auto settings_file(int number) const -> std::string;
  [[nodiscard]] auto settings_text(int number) const -> std::string;
  /// Notes a gateway that took more memory than it may.
  auto check_memory(gateway_process& gateway) -> void;
  auto look_at(gateway_process& gateway) -> task<>;
  /// Notes the end of a gateway's process if nothing asked for it. True when it has ended.
  auto check_end(gateway_process& gateway) -> bool;

  event_loop* loop_;
  soak_settings settings_;
  soak_ledger* ledger_;
  std::string network_;
  std::string folder_;
  std::shared_ptr<memory_row_store> rows_;
  std::unique_ptr<row_store_server> store_;
  std::vector<gateway_process> gateways_;
  std::vector<std::unique_ptr<upstream_stand_in>> upstreams_;
  std::vector<std::shared_ptr<tcp_proxy>> upstream_links_;
  int made_upstreams_ = 0;
  milliseconds last_end_at_ = 0;
  int version_ = 0;
};

}  // namespace birchlever::soak

/// A small deployment on loopback: the store, servers, and gateway processes started with the command and the
/// template of settings of the deploy file.
#pragma once

#include <fstream>

#include "store.h"

namespace review {

/// Writes what was sent, answered and run, with the time since the start. For any thread.
class record {
 public:
  explicit record(const std::string& file) : file_{file}, started_at_{now_ms()} {}

  auto write(const std::string& line) -> void;

 private:
  std::mutex lock_;
  std::ofstream file_;
  std::int64_t started_at_;
};

/// A server of a service: checks the instance that is expected, answers health and report calls, and hands
/// other requests to its function. Keeps its entry in the store as servers do.
class server {
 public:
  /// Handles one request. False closes the connection.
  using handle_function = std::function<bool(const message& request, connection& caller)>;

  server(store& platform, std::string id, std::string service, int slots, handle_function handle);

  [[nodiscard]] auto id() const -> const std::string& { return id_; }

  /// The headers that each answer to this request bears.
  [[nodiscard]] auto answer_headers(const message& request) const -> header_map;

  /// An answer that says that the request was not run.
  [[nodiscard]] auto refusal(const message& request, int status) const -> std::string;

 private:
  auto serve(connection& caller) -> void;
  auto announce() -> void;

  store* platform_;
  std::string id_;
  std::string service_;
  int slots_;
  handle_function handle_;
  std::atomic<std::int64_t> sequence_ = 0;
  listener listener_;
};

/// What the settings of the machines hold beyond their addresses.
struct deployment_settings {
  std::vector<std::string> zones_;  ///< The zone of each machine.
  bool accounts_ = false;           ///< The bounds of client accounts are in force.
};

/// The gateway processes. All end with this object, and with the process.
class deployment {
 public:
  /// Takes loopback addresses and free ports, one address for each machine. Starts nothing.
  deployment(store& platform, deployment_settings settings);
  ~deployment();
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  /// Starts a gateway with the settings of its machine.
  auto start(int number) -> void;

  /// Kills a gateway and waits for its end.
  auto kill(int number) -> void;

  /// Starts the first gateways and waits until they are ready. Ends the case with status 2 if they aren't.
  auto start_all(int count) -> void;

  /// Waits until the gateway's readiness page answers 200. False after the limit.
  auto wait_ready(int number, std::int64_t limit_ms) -> bool;

  /// Returns true while the process runs.
  auto running(int number) -> bool;

  /// Where clients connect.
  [[nodiscard]] auto front(int number) const -> std::string;

  /// The folder of settings files and logs.
  [[nodiscard]] auto folder() const -> const std::string& { return folder_; }

 private:
  struct machine {
    std::string ip_;
    int front_ = 0;
    int ready_ = 0;
    int control_ = 0;
    int peers_ = 0;
    int process_ = -1;
  };

  auto write_settings(int number) -> std::string;

  store* platform_;
  deployment_settings settings_;
  std::string folder_;
  std::vector<machine> machines_;
};

/// A route of op/config. `further` adds to it or replaces what it holds.
[[nodiscard]] auto route(const std::string& name, const std::string& type, const std::string& service,
                         int timeout_ms, const nlohmann::json& further) -> nlohmann::json;

/// Writes op/config with these routes and services, and with tenants unless they are null.
auto configure(store& platform, const nlohmann::json& routes, const nlohmann::json& services,
               const nlohmann::json& tenants = nullptr) -> void;

/// True unless the environment has TROUBLE=0.
[[nodiscard]] auto with_trouble() -> bool;

}  // namespace review

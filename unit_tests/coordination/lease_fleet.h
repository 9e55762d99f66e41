/// Daemons that share the budget of one program, can be killed, paused and cut off from the store, and
/// witness each other's leases.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "birchlever/coordination/program_store.h"
#include "birchlever/storage/memory_row_store.h"
#include "unit_tests/coordination/idle_peers.h"
#include "unit_tests/http/loop_runner.h"

namespace birchlever {

/// The way of one daemon to the shared store. A killed daemon changes nothing there.
class daemon_rows final : public row_store_interface {
 public:
  daemon_rows(event_loop& loop, std::shared_ptr<memory_row_store> shared)
      : loop_{&loop}, shared_{std::move(shared)} {}

  [[nodiscard]] auto reachable() const -> bool override { return !cut_ && shared_->reachable(); }
  auto wait_until_reachable(milliseconds limit) -> task<bool> override;
  [[nodiscard]] auto expected_outage_left() const -> milliseconds override { return 0; }
  auto commit(row_transaction transaction, milliseconds time_left) -> task<result<commit_outcome>> override;
  auto read(row_range range, milliseconds time_left) -> task<result<row_page>> override;
  auto changes(std::string table, std::int64_t after, milliseconds wait) -> task<result<row_page>> override;
  auto partitions(std::string table, std::string after, milliseconds time_left)
      -> task<result<std::vector<std::string>>> override;

  bool cut_ = false;  ///< No call reaches the store.

 private:
  event_loop* loop_;
  std::shared_ptr<memory_row_store> shared_;
};

/// One incarnation of a daemon.
struct fleet_daemon {
  std::string name_;
  std::shared_ptr<daemon_rows> rows_;
  std::shared_ptr<program_store> store_;
  bool alive_ = true;
  bool paused_ = false;  ///< Peers get no response.
};

class lease_fleet {
 public:
  static constexpr auto turn_limit = std::int64_t{40};
  static constexpr auto max_wait = milliseconds{1000};
  static constexpr auto peer_timeout = milliseconds{4};

  explicit lease_fleet(int size, bool witnessed = true, bool spent_memory = true);
  ~lease_fleet();

  lease_fleet(const lease_fleet&) = delete;
  auto operator=(const lease_fleet&) -> lease_fleet& = delete;

  /// Kills a daemon. Its VM starts a new one without state, unless `restart` is false.
  auto kill(int vm, bool restart = true) -> void;

  [[nodiscard]] auto daemon(int vm) -> fleet_daemon& { return *daemons_.at(static_cast<std::size_t>(vm)); }

  /// Returns true if the VM exists and its daemon runs.
  [[nodiscard]] auto has(int vm) const -> bool;

  /// Returns the daemon with this name if it responds to its peers.
  [[nodiscard]] auto find_responsive(const std::string& name) -> std::shared_ptr<program_store>;

  auto begin(int vm, const std::string& turn, const std::string& previous, std::int64_t budget)
      -> result<turn_grant>;
  auto end(int vm, const std::string& turn, const std::string& previous, const turn_grant& grant,
           std::int64_t budget, std::int64_t tokens = turn_limit) -> status;

  /// Runs a complete turn that generates `tokens`. Returns the number of commits made.
  auto turn(int vm, const std::string& turn, const std::string& previous, std::int64_t budget,
            std::int64_t tokens = turn_limit) -> int;

  static auto completion(const std::string& turn, const std::string& previous, const turn_grant& grant,
                         std::int64_t budget, std::int64_t tokens) -> turn_completion;

  /// Waits until leases granted so far have expired.
  auto expire_leases() -> void;

  event_loop loop_{1};
  std::shared_ptr<memory_row_store> rows_ = std::make_shared<memory_row_store>(loop_);
  program_store_settings settings_;
  std::optional<int> only_witness_;  ///< VM of the daemon that witnesses all leases.
  int lost_peer_answers_ = 0;        ///< Peers' next answers that are lost after the request was handled.
  std::minstd_rand random_{1};

 private:
  auto start_daemon(int vm) -> void;

  std::vector<std::shared_ptr<fleet_daemon>> daemons_;  ///< By VM.
  int incarnations_ = 0;
};

inline auto code_of(const result<turn_grant>& granted) -> std::optional<error_code> {
  return ok(granted) ? std::nullopt : std::optional{failure(granted).code_};
}

}  // namespace birchlever

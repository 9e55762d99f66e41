#include "unit_tests/coordination/lease_fleet.h"

namespace birchlever {
namespace {

auto cut_off() -> error {
  return error{error_code::store_unavailable, "cut off from the store"};
}

/// Connects a daemon to the others.
class fleet_peers final : public idle_peers {
 public:
  fleet_peers(lease_fleet& fleet, int vm, std::string name)
      : fleet_{&fleet}, vm_{vm}, name_{std::move(name)} {}

  auto request_lease(std::string program_key, std::string reservation, std::string holder)
      -> task<bool> override {
    auto peer = co_await reach(holder);
    auto given = peer && peer->transfer_lease(program_key, reservation, name_);
    auto arrived = co_await answer_arrives(peer != nullptr);
    co_return given&& arrived;
  }

  auto choose_witness() -> std::optional<std::string> override {
    for (auto attempt = 0; attempt < 8; ++attempt) {
      auto vm = fleet_->only_witness_.value_or(static_cast<int>(fleet_->random_() % 4));
      if (vm != vm_ && fleet_->has(vm)) {
        return fleet_->daemon(vm).name_;
      }
    }
    return std::nullopt;
  }

  auto record_lease_use(std::string lease, std::string witness, milliseconds keep_for)
      -> task<bool> override {
    auto peer = co_await reach(witness);
    auto recorded = peer && peer->witness_use(lease, keep_for);
    auto arrived = co_await answer_arrives(peer != nullptr);
    co_return recorded&& arrived;
  }

  auto inquire_lease(std::string program_key, std::string lease, std::string daemon, milliseconds keep_for)
      -> task<lease_answer> override {
    auto peer = co_await reach(daemon);
    auto answer = peer ? peer->answer_inquiry(program_key, lease, keep_for) : answer_without(daemon);
    auto arrived = co_await answer_arrives(peer != nullptr);
    co_return arrived || answer.state_ == lease_state::lost ? answer : lease_answer{};
  }

  auto revoke_lease(std::string lease, std::string witness, milliseconds keep_for)
      -> task<lease_answer> override {
    auto peer = co_await reach(witness);
    auto answer = peer ? peer->revoke(lease, keep_for) : answer_without(witness);
    auto arrived = co_await answer_arrives(peer != nullptr);
    co_return arrived || answer.state_ == lease_state::lost ? answer : lease_answer{};
  }

 private:
  /// Returns what is known of a lease if a daemon does not respond: the next one on its VM tells that it is
  /// gone.
  auto answer_without(const std::string& daemon) -> lease_answer {
    auto vm = std::stoi(daemon.substr(daemon.find('-') + 1));
    auto replaced = fleet_->has(vm) && fleet_->daemon(vm).name_ != daemon && !fleet_->daemon(vm).paused_ &&
                    fleet_->find_responsive(name_);
    return {replaced ? lease_state::lost : lease_state::unresolved, {}};
  }

  /// Sends a request, which takes a moment. Yields null if the daemon does not respond.
  auto reach(std::string daemon) -> task<std::shared_ptr<program_store>> {
    co_await pause_for(fleet_->loop_, 1);
    auto own = fleet_->find_responsive(name_);
    co_return own ? fleet_->find_responsive(daemon) : nullptr;
  }

  auto answer_arrives(bool reached) -> task<bool> {
    auto lost = reached && fleet_->lost_peer_answers_ > 0;
    fleet_->lost_peer_answers_ -= lost ? 1 : 0;
    if (!reached || lost) {
      co_await pause_for(fleet_->loop_, lease_fleet::peer_timeout);
      co_return false;
    }
    co_return true;
  }

  lease_fleet* fleet_;
  int vm_;
  std::string name_;
};

}  // namespace

auto daemon_rows::wait_until_reachable(milliseconds limit) -> task<bool> {
  if (cut_) {
    co_await pause_for(*loop_, limit);
    co_return !cut_;
  }
  co_return co_await shared_->wait_until_reachable(limit);
}

auto daemon_rows::commit(row_transaction transaction, milliseconds time_left)
    -> task<result<commit_outcome>> {
  if (cut_) {
    co_return cut_off();
  }
  co_return co_await shared_->commit(std::move(transaction), time_left);
}

auto daemon_rows::read(row_range range, milliseconds time_left) -> task<result<row_page>> {
  if (cut_) {
    co_return cut_off();
  }
  co_return co_await shared_->read(std::move(range), time_left);
}

auto daemon_rows::changes(std::string table, std::int64_t after, milliseconds wait)
    -> task<result<row_page>> {
  co_return co_await shared_->changes(std::move(table), after, wait);
}

auto daemon_rows::partitions(std::string table, std::string after, milliseconds time_left)
    -> task<result<std::vector<std::string>>> {
  co_return co_await shared_->partitions(std::move(table), std::move(after), time_left);
}

lease_fleet::lease_fleet(int size, bool witnessed, bool spent_memory) {
  settings_.reservation_lease_ = 60;
  settings_.max_turn_duration_ = 40;
  settings_.inquiry_max_age_ = 20;
  settings_.initial_turn_duration_ = 5;
  settings_.retry_after_ = 10;
  settings_.witnessed_leases_ = witnessed;
  settings_.spent_memory_ = spent_memory;
  daemons_.resize(static_cast<std::size_t>(size));
  for (auto vm = 0; vm < size; ++vm) {
    start_daemon(vm);
  }
}

lease_fleet::~lease_fleet() {
  for (const auto& one : daemons_) {
    one->rows_->cut_ = true;
  }
}

auto lease_fleet::has(int vm) const -> bool {
  return vm < static_cast<int>(daemons_.size()) && daemons_.at(static_cast<std::size_t>(vm))->alive_;
}

auto lease_fleet::start_daemon(int vm) -> void {
  auto started = std::make_shared<fleet_daemon>();
  started->name_ = "vm-" + std::to_string(vm) + "@" + std::to_string(++incarnations_);
  started->rows_ = std::make_shared<daemon_rows>(loop_, rows_);
  auto settings = settings_;
  settings.daemon_ = started->name_;
  started->store_ = value(program_store::create(loop_, started->rows_, settings));
  started->store_->set_budget_peers(std::make_shared<fleet_peers>(*this, vm, started->name_));
  daemons_.at(static_cast<std::size_t>(vm)) = std::move(started);
}

auto lease_fleet::kill(int vm, bool restart) -> void {
  daemon(vm).alive_ = false;
  daemon(vm).rows_->cut_ = true;
  if (restart) {
    start_daemon(vm);
  }
}

auto lease_fleet::find_responsive(const std::string& name) -> std::shared_ptr<program_store> {
  for (const auto& one : daemons_) {
    if (one->name_ == name && one->alive_ && !one->paused_) {
      return one->store_;
    }
  }
  return nullptr;
}

auto lease_fleet::begin(int vm, const std::string& turn, const std::string& previous, std::int64_t budget)
    -> result<turn_grant> {
  auto order = turn_request{"p", turn, previous, budget, turn_limit, "in"};
  return run_to_end(loop_, daemon(vm).store_->begin_turn(std::move(order), max_wait));
}

auto lease_fleet::completion(const std::string& turn, const std::string& previous, const turn_grant& grant,
                             std::int64_t budget, std::int64_t tokens) -> turn_completion {
  auto ended = turn_completion{"p", turn, grant.reservation_, tokens, turn_limit, budget, 0, std::nullopt};
  ended.record_ = turn_record{previous, "in", "out", "engine-1"};
  return ended;
}

auto lease_fleet::end(int vm, const std::string& turn, const std::string& previous, const turn_grant& grant,
                      std::int64_t budget, std::int64_t tokens) -> status {
  auto ended = completion(turn, previous, grant, budget, tokens);
  return run_to_end(loop_, daemon(vm).store_->end_turn(std::move(ended), max_wait));
}

auto lease_fleet::turn(int vm, const std::string& turn, const std::string& previous, std::int64_t budget,
                       std::int64_t tokens) -> int {
  auto before = rows_->commits();
  auto granted = begin(vm, turn, previous, budget);
  REQUIRE(ok(granted));
  REQUIRE(ok(end(vm, turn, previous, value(granted), budget, tokens)));
  return rows_->commits() - before;
}

auto lease_fleet::expire_leases() -> void {
  run_loop_for(loop_, settings_.reservation_lease_ + settings_.max_turn_duration_ + 20);
}

}  // namespace birchlever

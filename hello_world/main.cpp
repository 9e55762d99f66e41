/// The coordination parts in one file, without a daemon: a lease, a journal, budgets and at-most-once calls.
///
/// Two processes' worth of state share one store here. The first takes the lease, records that it is about
/// to file a deed, and dies. The second waits the lease out, reads the journal, and refuses to file again.
#include <iostream>

#include "birchlever/coordination/journal.h"
#include "birchlever/coordination/lease.h"
#include "birchlever/coordination/program_ledger.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/storage/memory_table_store.h"

namespace {

using namespace birchlever;

constexpr auto shard = 0;

/// A process that may own the shard.
struct owner {
  lease lease_;
  std::optional<journal> journal_;
  std::optional<program_ledger> ledger_;

  /// Takes the lease and reads what earlier owners left.
  auto take_over(const std::shared_ptr<table_store_interface>& store, milliseconds now) -> bool {
    lease_.observe(value(store->read(lease::row_key(shard))));
    if (!lease_.can_acquire(0) || !ok(lease_.acquire())) {
      return false;
    }
    journal_.emplace(value(journal::create({}, shard, lease_.fence_version(), store)));
    ledger_.emplace(value(program_ledger::create({}, lease_.epoch())));
    return ok(ledger_->recover(value(journal_->recover()), now));
  }

  /// Makes records durable, then part of the state.
  auto keep(const std::vector<journal_record>& records, milliseconds now) -> bool {
    auto written = journal_->commit(records, [this] { return lease_.held(); });
    for (const auto& record : records) {
      ledger_->apply(record, now);
    }
    return ok(written);
  }
};

auto make_owner(const std::string& name, const std::shared_ptr<table_store_interface>& store,
                const std::shared_ptr<clock_interface>& clock) -> owner {
  return {value(lease::create({}, shard, name, "127.0.0.1:1", store, clock)), std::nullopt, std::nullopt};
}

}  // namespace

auto main() -> int {
  auto store = std::make_shared<memory_table_store>();
  auto clock = std::make_shared<manual_clock>();
  auto configuration = value(versioned_configuration::create(store, clock, 5000));
  configuration->observe(std::nullopt, clock->now());
  std::cout << "configuration generation " << value(configuration->propose(0, "{}", "hello_world")) << '\n';

  auto first = make_owner("vm-1/a", store, clock);
  auto second = make_owner("vm-2/b", store, clock);
  if (!first.take_over(store, clock->now())) {
    return 1;
  }
  auto deed = call_request{"notary", "deed-41", 1};
  deed.budget_ = 1000;
  deed.repeatable_ = false;
  deed.generates_ = false;
  deed.digest_ = 7;
  auto ready = std::get<open_proceed>(first.ledger_->open(deed, "default", clock->now()));
  auto [ticket, intent] = first.ledger_->dispatch(deed, "registry-1", clock->now());
  ready.records_.push_back(*intent);
  if (!first.keep(ready.records_, clock->now())) {
    return 1;
  }
  std::cout << "owner 1 recorded its intent under fencing number " << ticket.sequence_ << ", and dies\n";

  auto too_early = second.take_over(store, clock->now());
  clock->advance(lease_settings{}.duration_ + lease_settings{}.margin_);
  auto in_time = second.take_over(store, clock->now());
  std::cout << "owner 2 takes over early: " << too_early << ", after the lease and its margin: " << in_time
            << '\n';
  if (too_early || !in_time) {
    return 1;
  }
  auto decision = second.ledger_->open(deed, "default", clock->now());
  const auto* question = std::get_if<open_resolve>(&decision);
  if (question == nullptr) {
    return 1;
  }
  std::cout << "owner 2 does not file again; it asks " << question->upstream_ << " about key "
            << question->key_ << '\n';
  return 0;
}

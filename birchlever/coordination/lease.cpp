#include "birchlever/coordination/lease.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"

namespace birchlever {
namespace {

auto numbered_key(const char* prefix, int shard) -> std::string {
  auto number = std::array<char, 16>{};
  std::snprintf(number.data(), number.size(), "%04d", shard);
  return std::string{prefix} + number.data();
}

/// Returns true if an owner identity, "machine/process", is on the given machine.
auto is_on_machine(const std::string& owner, const std::string& machine) -> bool {
  return !machine.empty() && owner.compare(0, owner.find('/'), machine) == 0;
}

auto to_text(const lease_claim& claim) -> std::string {
  return nlohmann::json{{"owner", claim.owner_},
                        {"address", claim.address_},
                        {"epoch", claim.epoch_},
                        {"successor", claim.successor_}}
      .dump();
}

}  // namespace

auto lease::create(const lease_settings& settings, int shard, std::string owner, std::string address,
                   std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock)
    -> result<lease> {
  if (settings.margin_ < 0 || settings.duration_ <= settings.margin_ + settings.renew_interval_) {
    return error{error_code::invalid_setting,
                 "lease duration must exceed the sum of its margin and renewal interval"};
  }
  if (owner.empty()) {
    return error{error_code::invalid_setting, "lease owner identity must not be empty"};
  }
  return lease{settings, shard, std::move(owner), std::move(address), std::move(store), std::move(clock)};
}

lease::lease(const lease_settings& settings, int shard, std::string owner, std::string address,
             std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock)
    : settings_{settings},
      shard_{shard},
      owner_{std::move(owner)},
      address_{std::move(address)},
      store_{std::move(store)},
      clock_{std::move(clock)} {}

auto lease::row_key(int shard) -> std::string {
  return numbered_key("control/lease/", shard);
}

auto lease::fence_key(int shard) -> std::string {
  return numbered_key("fence/", shard);
}

auto lease::parse(const std::string& text) -> result<lease_claim> {
  auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("owner") || !body.contains("epoch")) {
    return error{error_code::malformed_json, "malformed lease row"};
  }
  return lease_claim{body.value("owner", ""), body.value("address", ""), body.value("epoch", std::int64_t{0}),
                     body.value("successor", "")};
}

auto lease::observe(const std::optional<table_row>& row) -> void {
  auto version = row ? row->version_ : 0;
  if (observed_ && version == row_version_) {
    return;
  }
  if (holding_ && version < row_version_) {
    return;  // The read was in flight during our write and is stale.
  }
  observed_ = true;
  row_version_ = version;
  observed_since_ = clock_->now();
  auto parsed = row ? parse(row->value_) : result<lease_claim>{lease_claim{}};
  claim_ = ok(parsed) ? value(parsed) : lease_claim{};
  if (holding_ && claim_.owner_ != owner_) {
    drop();
  }
}

auto lease::can_acquire(int rank) const -> bool {
  if (!observed_ || holding_) {
    return false;
  }
  auto waited = clock_->now() - observed_since_;
  auto rank_delay = rank * settings_.rank_step_;
  if (claim_.owner_ == owner_) {
    return true;  // Our own lease expired; compare-and-set fails if another process has acquired it.
  }
  if (claim_.owner_.empty()) {
    return is_on_machine(owner_, claim_.successor_) || waited >= rank_delay;
  }
  auto margin =
      test_switches::instance().mechanism_on("lease_wait") ? settings_.margin_ : -settings_.duration_;
  return waited >= settings_.duration_ + margin + rank_delay;
}

auto lease::write(const table_transaction& transaction) -> result<std::int64_t> {
  auto outcome = store_->commit(transaction);
  if (ok(outcome) || failure(outcome).code_ != error_code::store_unknown) {
    return outcome;
  }
  auto row = store_->read(row_key(shard_));
  if (!ok(row)) {
    return failure(row);
  }
  if (value(row) && value(row)->write_id_ == transaction.write_id_) {
    return value(row)->version_;
  }
  return error{error_code::store_unknown, "lease write is not visible; its outcome is unknown"};
}

auto lease::acquire() -> status {
  auto started = clock_->now();
  auto claim = lease_claim{owner_, address_, claim_.epoch_ + 1, ""};
  auto transaction = table_transaction{random_id(), {{row_key(shard_), row_version_}}, {}, {}};
  transaction.puts_.push_back({row_key(shard_), to_text(claim)});
  transaction.puts_.push_back({fence_key(shard_), std::to_string(claim.epoch_)});
  auto outcome = write(transaction);
  if (!ok(outcome)) {
    observed_ = false;  // Requires a new read before the next attempt.
    return failure(outcome);
  }
  claim_ = claim;
  row_version_ = value(outcome);
  fence_version_ = value(outcome);
  valid_until_ = started + settings_.duration_ - settings_.margin_;
  renewed_at_ = started;
  observed_ = true;
  holding_ = true;
  return success;
}

auto lease::renew() -> status {
  if (!holding_) {
    return error{error_code::lease_lost, "lease is not held"};
  }
  auto started = clock_->now();
  auto transaction = table_transaction{random_id(), {{row_key(shard_), row_version_}}, {}, {}};
  transaction.puts_.push_back({row_key(shard_), to_text(claim_)});
  auto outcome = write(transaction);
  if (ok(outcome)) {
    row_version_ = value(outcome);
    valid_until_ = started + settings_.duration_ - settings_.margin_;
    renewed_at_ = started;
    return success;
  }
  if (failure(outcome).code_ != error_code::store_conflict) {
    return failure(outcome);
  }
  auto row = store_->read(row_key(shard_));
  if (!ok(row)) {
    return failure(row);
  }
  auto parsed = value(row) ? parse(value(row)->value_) : result<lease_claim>{lease_claim{}};
  auto still_ours = ok(parsed) && value(parsed).owner_ == owner_ && value(parsed).epoch_ == claim_.epoch_;
  if (still_ours) {
    row_version_ =
        value(row)->version_;  // An earlier renewal took effect late; renew again from its version.
    return error{error_code::store_unknown, "an earlier lease renewal took effect late"};
  }
  drop();
  return error{error_code::lease_lost, "another process holds the lease"};
}

auto lease::release(const std::string& successor) -> status {
  if (!holding_) {
    return error{error_code::lease_lost, "lease is not held"};
  }
  auto claim = lease_claim{"", "", claim_.epoch_, successor};
  auto transaction = table_transaction{random_id(), {{row_key(shard_), row_version_}}, {}, {}};
  transaction.puts_.push_back({row_key(shard_), to_text(claim)});
  drop();
  auto outcome = write(transaction);
  if (!ok(outcome)) {
    return failure(outcome);
  }
  claim_ = claim;
  row_version_ = value(outcome);
  observed_since_ = clock_->now();
  return success;
}

auto lease::held() const -> bool {
  if (!test_switches::instance().mechanism_on("lease_check")) {
    return holding_;
  }
  return holding_ && clock_->now() < valid_until_;
}

auto lease::renewal_due() const -> bool {
  return holding_ && clock_->now() - renewed_at_ >= settings_.renew_interval_;
}

auto lease::abandon() -> void {
  if (holding_) {
    drop();
  }
}

auto lease::drop() -> void {
  holding_ = false;
  valid_until_ = 0;
  observed_since_ = clock_->now();
}

}  // namespace birchlever

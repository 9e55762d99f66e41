#include "birchlever/coordination/allowance_ranges.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/core/bounded_json.h"
#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

constexpr auto max_ranges = 64;  // Peer messages carry the held ranges as a 64-bit mask.

auto key_of(int range) -> std::string {
  return "range-" + std::to_string(range);
}

}  // namespace

/// The stored row of a range. Times are on the store's clock.
struct allowance_ranges::row {
  std::string holder_;  ///< Empty after a release.
  milliseconds lease_until_ = 0;
  milliseconds grants_from_ = 0;
};

allowance_ranges::allowance_ranges(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                                   allowance_settings settings, preference_function is_preferred,
                                   lifetime_function program_lifetime)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{std::move(settings)},
      is_preferred_{std::move(is_preferred)},
      program_lifetime_{std::move(program_lifetime)} {}

auto allowance_ranges::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                              const allowance_settings& settings, preference_function is_preferred,
                              lifetime_function program_lifetime)
    -> result<std::shared_ptr<allowance_ranges>> {
  auto valid = settings.ranges_ > 0 && settings.ranges_ <= max_ranges && !settings.daemon_.empty() &&
               settings.renewal_threshold_ < settings.lease_;
  if (!valid) {
    return error{error_code::invalid_setting,
                 "allowance ranges require a daemon name, 1 to 64 ranges and a renewal threshold below the "
                 "lease duration"};
  }
  auto created = std::shared_ptr<allowance_ranges>{new allowance_ranges{
      loop, std::move(rows), settings, std::move(is_preferred), std::move(program_lifetime)}};
  start(loop, "hold_allowances", created->run());
  return created;
}

auto allowance_ranges::encode(const row& held) -> std::string {
  return json::array({held.holder_, held.lease_until_, held.grants_from_}).dump();
}

auto allowance_ranges::decode(std::string_view value) -> result<row> {
  auto parsed = parse_json(value);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  try {
    const auto& fields = birchlever::value(parsed);
    auto decoded = row{};
    fields.at(0).get_to(decoded.holder_);
    fields.at(1).get_to(decoded.lease_until_);
    fields.at(2).get_to(decoded.grants_from_);
    return decoded;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed allowance row: "} + fault.what()};
  }
}

auto allowance_ranges::range_of(std::string_view program_key) const -> int {
  return static_cast<int>(hash_of(program_key) % static_cast<std::uint64_t>(settings_.ranges_));
}

auto allowance_ranges::can_grant(int range) const -> bool {
  auto found = holdings_.find(range);
  if (released_ || found == holdings_.end()) {
    return false;
  }
  const auto& held = found->second;
  auto now = clock_.now();
  return now < held.usable_until_ && now + held.store_clock_offset_ >= held.grants_from_;
}

auto allowance_ranges::held_ranges() const -> std::uint64_t {
  auto bits = std::uint64_t{0};
  for (const auto& [range, holding] : holdings_) {
    bits |= can_grant(range) ? std::uint64_t{1} << static_cast<unsigned>(range) : 0U;
  }
  return bits;
}

auto allowance_ranges::grant(const std::string& program_key, std::int64_t tokens) -> std::int64_t {
  auto range = range_of(program_key);
  if (!can_grant(range) || !granted_at_.emplace(program_key, clock_.now()).second) {
    return 0;
  }
  holdings_.at(range).has_granted_ = true;
  log_event(log_level::info, "allowance_granted",
            {{"program", program_key}, {"range", std::int64_t{range}}, {"tokens", tokens}});
  return tokens;
}

auto allowance_ranges::should_acquire(int range, const row* current, milliseconds store_now) const -> bool {
  auto ours = current != nullptr && current->holder_ == settings_.daemon_;
  if (ours) {
    return current->lease_until_ - store_now < settings_.renewal_threshold_;
  }
  auto is_free = current == nullptr || current->holder_.empty() || current->lease_until_ <= store_now;
  return is_free && is_preferred_(settings_.table_ + key_of(range));
}

auto allowance_ranges::acquire(int range, const row* current, std::int64_t version, milliseconds requested_at,
                               milliseconds store_now) -> task<bool> {
  auto claim = row{settings_.daemon_, store_now + settings_.lease_, 0};
  if (current != nullptr) {
    auto from_another = !current->holder_.empty() && current->holder_ != settings_.daemon_;
    auto all_programs_ended_at = from_another ? current->lease_until_ + program_lifetime_() : 0;
    claim.grants_from_ = std::max(current->grants_from_, all_programs_ended_at);
  }
  auto transaction = row_transaction{};
  auto key = row_key{settings_.table_, "", key_of(range)};
  transaction.conditions_.push_back({key, version});
  transaction.puts_.push_back({key, encode(claim)});
  auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
  if (!ok(committed)) {
    co_return false;
  }
  if (!value(committed).committed_) {
    co_return true;  // Another daemon changed the row first; the next poll reads its claim.
  }
  auto& held = holdings_[range];
  held.version_ = value(committed).version_;
  // The store read its clock after the request was sent, so its lease ends no earlier than this.
  held.usable_until_ = requested_at + settings_.lease_;
  held.store_clock_offset_ = store_now - clock_.now();
  held.grants_from_ = claim.grants_from_;
  co_return true;
}

auto allowance_ranges::poll() -> task<bool> {
  auto self = shared_from_this();
  if (program_lifetime_() == 0 || released_) {
    co_return true;
  }
  auto requested_at = clock_.now();
  auto range = row_range{settings_.table_, "", "", ""};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, settings_.call_limit_);
  if (!ok(page)) {
    co_return false;
  }
  auto stored_rows = std::map<std::string, std::pair<row, std::int64_t>>{};
  for (const auto& stored : value(page).rows_) {
    auto decoded = decode(stored.value_);
    if (!ok(decoded)) {
      log_failure(log_level::error, "allowance_row_malformed", failure(decoded));
      co_return false;
    }
    stored_rows[stored.key_.key_] = {value(decoded), stored.version_};
  }
  for (auto number = 0; number < settings_.ranges_; ++number) {
    auto found = stored_rows.find(key_of(number));
    const auto* known = found == stored_rows.end() ? nullptr : &found->second.first;
    auto version = found == stored_rows.end() ? 0 : found->second.second;
    if (!should_acquire(number, known, value(page).store_time_)) {
      continue;
    }
    auto answered = co_await acquire(number, known, version, requested_at, value(page).store_time_);
    if (!answered || released_) {
      co_return answered;
    }
  }
  evict_ended();
  co_return true;
}

auto allowance_ranges::evict_ended() -> void {
  auto ended_before = clock_.now() - program_lifetime_();
  for (auto next = granted_at_.begin(); next != granted_at_.end();) {
    next = next->second < ended_before ? granted_at_.erase(next) : std::next(next);
  }
}

auto allowance_ranges::run() -> task<> {
  auto self = shared_from_this();
  while (!released_) {
    auto answered = co_await poll();
    co_await pause_for(*loop_, answered ? settings_.poll_interval_ : settings_.retry_interval_);
  }
}

auto allowance_ranges::release() -> task<> {
  auto self = shared_from_this();
  released_ = true;  // Stops granting even if a write below fails.
  for (const auto& [range, held] : holdings_) {
    if (held.has_granted_) {
      continue;
    }
    auto transaction = row_transaction{};
    auto key = row_key{settings_.table_, "", key_of(range)};
    transaction.conditions_.push_back({key, held.version_});
    transaction.puts_.push_back({key, encode({"", 0, held.grants_from_})});
    auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
    if (!ok(committed)) {
      co_return;  // The lease expires on its own.
    }
  }
}

}  // namespace birchlever

#include "birchlever/coordination/allowance_ranges.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/core/hashing.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

constexpr auto most_ranges = 64;  // A peer's message tells them as the bits of one number.

auto key_of(int range) -> std::string {
  return "range-" + std::to_string(range);
}

}  // namespace

/// A range as the store has it. Times are on the store's clock.
struct allowance_ranges::row {
  std::string holder_;  ///< Empty when it was let go.
  milliseconds lease_until_ = 0;
  milliseconds gives_from_ = 0;
};

allowance_ranges::allowance_ranges(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                                   allowance_settings settings, prefers_function prefers,
                                   life_function program_life)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{std::move(settings)},
      prefers_{std::move(prefers)},
      program_life_{std::move(program_life)} {}

auto allowance_ranges::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                              const allowance_settings& settings, prefers_function prefers,
                              life_function program_life) -> result<std::shared_ptr<allowance_ranges>> {
  auto good = settings.ranges_ > 0 && settings.ranges_ <= most_ranges && !settings.daemon_.empty() &&
              settings.renewed_left_ < settings.lease_;
  if (!good) {
    return error{error_code::invalid_setting,
                 "allowances need a daemon, 1 to 64 ranges and a lease to renew"};
  }
  auto made = std::shared_ptr<allowance_ranges>{
      new allowance_ranges{loop, std::move(rows), settings, std::move(prefers), std::move(program_life)}};
  start(loop, "hold_allowances", made->follow());
  return made;
}

auto allowance_ranges::encode(const row& held) -> std::string {
  return json::array({held.holder_, held.lease_until_, held.gives_from_}).dump();
}

auto allowance_ranges::decode(std::string_view value) -> result<row> {
  try {
    auto fields = json::parse(value);
    auto held = row{};
    fields.at(0).get_to(held.holder_);
    fields.at(1).get_to(held.lease_until_);
    fields.at(2).get_to(held.gives_from_);
    return held;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json,
                 std::string{"an allowance's row can't be read: "} + fault.what()};
  }
}

auto allowance_ranges::range_of(std::string_view program_key) const -> int {
  return static_cast<int>(hash_of(program_key) % static_cast<std::uint64_t>(settings_.ranges_));
}

auto allowance_ranges::holds(int range) const -> bool {
  auto found = holdings_.find(range);
  if (released_ || found == holdings_.end()) {
    return false;
  }
  const auto& held = found->second;
  auto now = clock_.now();
  return now < held.usable_until_ && now + held.store_ahead_ >= held.gives_from_;
}

auto allowance_ranges::held() const -> std::uint64_t {
  auto bits = std::uint64_t{0};
  for (const auto& [range, holding] : holdings_) {
    bits |= holds(range) ? std::uint64_t{1} << static_cast<unsigned>(range) : 0U;
  }
  return bits;
}

auto allowance_ranges::give(const std::string& program_key, std::int64_t tokens) -> std::int64_t {
  auto range = range_of(program_key);
  if (!holds(range) || !given_.emplace(program_key, clock_.now()).second) {
    return 0;
  }
  holdings_.at(range).gave_ = true;
  log_event(log_level::info, "allowance_given",
            {{"program", program_key}, {"range", std::int64_t{range}}, {"tokens", tokens}});
  return tokens;
}

auto allowance_ranges::wants(int range, const row* present, milliseconds store_now) const -> bool {
  auto ours = present != nullptr && present->holder_ == settings_.daemon_;
  if (ours) {
    return present->lease_until_ - store_now < settings_.renewed_left_;
  }
  auto is_free = present == nullptr || present->holder_.empty() || present->lease_until_ <= store_now;
  return is_free && prefers_(settings_.table_ + key_of(range));
}

auto allowance_ranges::take(int range, const row* present, std::int64_t version, milliseconds asked_at,
                            milliseconds store_now) -> task<bool> {
  auto wanted = row{settings_.daemon_, store_now + settings_.lease_, 0};
  if (present != nullptr) {
    auto from_another = !present->holder_.empty() && present->holder_ != settings_.daemon_;
    auto all_ended = from_another ? present->lease_until_ + program_life_() : 0;
    wanted.gives_from_ = std::max(present->gives_from_, all_ended);
  }
  auto transaction = row_transaction{};
  auto key = row_key{settings_.table_, "", key_of(range)};
  transaction.conditions_.push_back({key, version});
  transaction.puts_.push_back({key, encode(wanted)});
  auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
  if (!ok(committed)) {
    co_return false;
  }
  if (!value(committed).committed_) {
    co_return true;  // Another daemon was faster; the next look shows it.
  }
  auto& held = holdings_[range];
  held.version_ = value(committed).version_;
  // The store read its clock after we asked, so that its lease ends later than this.
  held.usable_until_ = asked_at + settings_.lease_;
  held.store_ahead_ = store_now - clock_.now();
  held.gives_from_ = wanted.gives_from_;
  co_return true;
}

auto allowance_ranges::look() -> task<bool> {
  auto self = shared_from_this();
  if (program_life_() == 0 || released_) {
    co_return true;
  }
  auto asked_at = clock_.now();
  auto range = row_range{settings_.table_, "", "", ""};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, settings_.call_limit_);
  if (!ok(page)) {
    co_return false;
  }
  auto present = std::map<std::string, std::pair<row, std::int64_t>>{};
  for (const auto& one : value(page).rows_) {
    auto decoded = decode(one.value_);
    if (!ok(decoded)) {
      log_failure(log_level::error, "allowance_unreadable", failure(decoded));
      co_return false;
    }
    present[one.key_.key_] = {value(decoded), one.version_};
  }
  for (auto number = 0; number < settings_.ranges_; ++number) {
    auto found = present.find(key_of(number));
    const auto* known = found == present.end() ? nullptr : &found->second.first;
    auto version = found == present.end() ? 0 : found->second.second;
    if (!wants(number, known, value(page).store_time_)) {
      continue;
    }
    auto answered = co_await take(number, known, version, asked_at, value(page).store_time_);
    if (!answered || released_) {
      co_return answered;
    }
  }
  forget_ended();
  co_return true;
}

auto allowance_ranges::forget_ended() -> void {
  auto ended_before = clock_.now() - program_life_();
  for (auto next = given_.begin(); next != given_.end();) {
    next = next->second < ended_before ? given_.erase(next) : std::next(next);
  }
}

auto allowance_ranges::follow() -> task<> {
  auto self = shared_from_this();
  while (!released_) {
    auto answered = co_await look();
    co_await pause_for(*loop_, answered ? settings_.look_gap_ : settings_.retry_gap_);
  }
}

auto allowance_ranges::release() -> task<> {
  auto self = shared_from_this();
  released_ = true;  // Nothing is given from here on, whatever becomes of the rows.
  for (const auto& [range, held] : holdings_) {
    if (held.gave_) {
      continue;
    }
    auto transaction = row_transaction{};
    auto key = row_key{settings_.table_, "", key_of(range)};
    transaction.conditions_.push_back({key, held.version_});
    transaction.puts_.push_back({key, encode({"", 0, held.gives_from_})});
    auto committed = co_await rows_->commit(std::move(transaction), settings_.call_limit_);
    if (!ok(committed)) {
      co_return;  // The lease runs out by itself.
    }
  }
}

}  // namespace birchlever

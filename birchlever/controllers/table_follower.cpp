#include "birchlever/controllers/table_follower.h"

#include <algorithm>

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto successor_suffix = '\x01';     // Appended to a key to get its successor.
constexpr auto min_wait = milliseconds{100};  // Limits the load on the store.
constexpr auto repeat_reserve =
    milliseconds{600};  // For a poll on a new connection and for applying its result.

}  // namespace

auto poll_wait_within(milliseconds bound, milliseconds response_grace) -> milliseconds {
  auto longest = table_follower_settings{}.wait_;
  if (bound == 0) {
    return longest;
  }
  return std::clamp(bound - response_grace - repeat_reserve, min_wait, longest);
}

table_follower::table_follower(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                               table_follower_settings settings, table_follower_events events)
    : loop_{&loop}, rows_{std::move(rows)}, settings_{std::move(settings)}, events_{std::move(events)} {}

auto table_follower::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                            const table_follower_settings& settings, table_follower_events events)
    -> std::shared_ptr<table_follower> {
  auto follower =
      std::shared_ptr<table_follower>{new table_follower{loop, std::move(rows), settings, std::move(events)}};
  start(loop, "follow_table", follower->follow());
  return follower;
}

auto table_follower::follow() -> task<> {
  auto self = shared_from_this();
  while (true) {
    auto started_at = clock_.now();
    auto succeeded = false;
    if (scan_needed_) {
      succeeded = co_await scan();
    } else {
      succeeded = co_await poll(settings_.wait_);
    }
    auto retry_at = started_at + settings_.retry_interval_;
    auto pause = succeeded ? settings_.min_poll_interval_ : retry_at - clock_.now();
    co_await pause_for(*loop_, std::max(pause, settings_.min_poll_interval_));
  }
}

auto table_follower::record_response() -> void {
  if (std::exchange(store_unreachable_, false)) {
    reconnected_at_ = clock_.now();
    log_event(log_level::info, "table_poll_recovered",
              {{"table", settings_.table_},
               {"version", version_},
               {"failures", std::exchange(failures_, 0)},
               {"failing_ms", clock_.now() - failing_since_}});
  }
}

auto table_follower::notify_verified(milliseconds started_at) -> void {
  if (events_.verified_) {
    events_.verified_(started_at);
  }
}

auto table_follower::poll_now() -> task<bool> {
  auto self = shared_from_this();
  auto succeeded = false;
  if (!scan_needed_) {
    succeeded = co_await poll(0);
  }
  if (scan_needed_) {
    succeeded = co_await scan();
  }
  co_return succeeded;
}

auto table_follower::record_failure(const error& reason, milliseconds started_at) -> void {
  ++failures_;
  if (!std::exchange(store_unreachable_, true)) {
    failing_since_ = started_at;
    log_event(log_level::warning, "table_poll_failing",
              {{"table", settings_.table_},
               {"version", version_},
               {"waited_ms", clock_.now() - started_at},
               {"reason", std::string{name_of(reason.code_)}},
               {"detail", reason.detail_}});
  }
}

auto table_follower::read_page(const row_range& range) -> task<std::optional<row_page>> {
  auto started_at = clock_.now();
  auto page = co_await rows_->read(range, settings_.scan_limit_);
  if (!ok(page)) {
    record_failure(failure(page), started_at);
    co_return std::nullopt;
  }
  record_response();
  if (value(page).version_ < version_) {
    log_event(log_level::warning, "scan_stale",
              {{"table", settings_.table_}, {"version", value(page).version_}, {"known", version_}});
    co_await pause_for(*loop_, settings_.stale_retry_interval_);
    co_return std::nullopt;
  }
  co_return std::move(value(page));
}

auto table_follower::scan() -> task<bool> {
  auto range = row_range{settings_.table_, "", "", ""};
  auto started_at = clock_.now();
  auto version = std::optional<std::int64_t>{};
  auto scanned = std::size_t{0};
  auto more = true;
  while (more) {
    auto page = co_await read_page(range);
    if (!page) {
      co_return false;
    }
    if (!version) {
      events_.scan_started_();
    }
    version = std::min(version.value_or(page->version_), page->version_);
    events_.page_scanned_(page->rows_);
    first_page_read_ = true;
    scanned += page->rows_.size();
    auto limit_reached = settings_.max_scan_rows_ > 0 && scanned >= settings_.max_scan_rows_;
    more = page->more_ && !page->rows_.empty() && !limit_reached;
    if (more) {
      range.from_ = page->rows_.back().key_.key_ + successor_suffix;
    }
  }
  version_ = *version;
  scan_needed_ = false;
  primed_ = true;
  events_.scan_ended_(version_);
  notify_verified(started_at);
  co_return true;
}

auto table_follower::poll(milliseconds wait) -> task<bool> {
  auto started_at = clock_.now();
  auto pending = settings_.changes_ ? settings_.changes_(settings_.table_, version_)
                                    : rows_->changes(settings_.table_, version_, wait);
  auto page = co_await std::move(pending);
  if (!ok(page)) {
    if (failure(page).code_ == error_code::store_conflict) {
      log_event(log_level::info, "feed_history_lost", {{"table", settings_.table_}, {"version", version_}});
      scan_needed_ = true;
      co_return true;
    }
    record_failure(failure(page), started_at);
    co_return false;
  }
  record_response();
  const auto& read = value(page);
  if (read.version_ < version_) {
    co_return false;  // Stale response.
  }
  version_ = read.version_;
  if (!read.rows_.empty()) {
    events_.changes_(read.rows_);
  }
  notify_verified(started_at);
  co_return true;
}

}  // namespace birchlever

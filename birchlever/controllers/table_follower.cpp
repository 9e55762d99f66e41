#include "birchlever/controllers/table_follower.h"

#include <algorithm>

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto behind_key = '\x01';  // Makes the next key after a given one.

}  // namespace

table_follower::table_follower(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                               table_follower_settings settings, table_follower_events events)
    : loop_{&loop}, rows_{std::move(rows)}, settings_{std::move(settings)}, events_{std::move(events)} {}

auto table_follower::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                            const table_follower_settings& settings, table_follower_events events)
    -> std::shared_ptr<table_follower> {
  auto made =
      std::shared_ptr<table_follower>{new table_follower{loop, std::move(rows), settings, std::move(events)}};
  start(loop, "follow_table", made->follow());
  return made;
}

auto table_follower::follow() -> task<> {
  auto self = shared_from_this();
  while (true) {
    auto good = false;
    if (scan_needed_) {
      good = co_await scan();
    } else {
      good = co_await look(settings_.wait_);
    }
    co_await pause_for(*loop_, good ? settings_.settle_ : settings_.retry_gap_);
  }
}

auto table_follower::answered() -> void {
  if (std::exchange(lost_, false)) {
    regained_at_ = clock_.now();
    log_event(log_level::info, "store_regained", {{"table", settings_.table_}, {"version", version_}});
  }
}

auto table_follower::tell_answered(milliseconds began_at) -> void {
  if (events_.verified_) {
    events_.verified_(began_at);
  }
}

auto table_follower::poll_now() -> task<bool> {
  auto self = shared_from_this();
  auto good = false;
  if (!scan_needed_) {
    good = co_await look(0);
  }
  if (scan_needed_) {
    good = co_await scan();
  }
  co_return good;
}

auto table_follower::unanswered(const error& reason) -> void {
  if (!std::exchange(lost_, true)) {
    log_event(log_level::warning, "store_lost",
              {{"table", settings_.table_},
               {"version", version_},
               {"reason", std::string{name_of(reason.code_)}},
               {"detail", reason.detail_}});
  }
}

auto table_follower::read_page(const row_range& range) -> task<std::optional<row_page>> {
  auto page = co_await rows_->read(range, settings_.scan_limit_);
  if (!ok(page)) {
    unanswered(failure(page));
    co_return std::nullopt;
  }
  answered();
  if (value(page).version_ < version_) {
    log_event(log_level::warning, "scan_behind",
              {{"table", settings_.table_}, {"version", value(page).version_}, {"known", version_}});
    co_await pause_for(*loop_, settings_.stale_gap_);
    co_return std::nullopt;
  }
  co_return std::move(value(page));
}

auto table_follower::scan() -> task<bool> {
  auto range = row_range{settings_.table_, "", "", ""};
  auto began_at = clock_.now();
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
    begun_ = true;
    scanned += page->rows_.size();
    auto enough = settings_.most_scanned_ > 0 && scanned >= settings_.most_scanned_;
    more = page->more_ && !page->rows_.empty() && !enough;
    if (more) {
      range.from_ = page->rows_.back().key_.key_ + behind_key;
    }
  }
  version_ = *version;
  scan_needed_ = false;
  primed_ = true;
  events_.scan_ended_(version_);
  tell_answered(began_at);
  co_return true;
}

auto table_follower::look(milliseconds wait) -> task<bool> {
  auto began_at = clock_.now();
  auto waiting = settings_.changes_ ? settings_.changes_(settings_.table_, version_)
                                    : rows_->changes(settings_.table_, version_, wait);
  auto page = co_await std::move(waiting);
  if (!ok(page)) {
    if (failure(page).code_ == error_code::store_conflict) {
      log_event(log_level::info, "feed_lost", {{"table", settings_.table_}, {"version", version_}});
      scan_needed_ = true;
      co_return true;
    }
    unanswered(failure(page));
    co_return false;
  }
  answered();
  const auto& read = value(page);
  if (read.version_ < version_) {
    co_return false;  // An answer from before what is known.
  }
  version_ = read.version_;
  if (!read.rows_.empty()) {
    events_.changes_(read.rows_);
  }
  tell_answered(began_at);
  co_return true;
}

}  // namespace birchlever

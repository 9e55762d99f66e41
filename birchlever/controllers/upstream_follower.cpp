#include "birchlever/controllers/upstream_follower.h"

#include "birchlever/controllers/peer_feed.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

// Enough to serve requests; the remaining entries arrive with their heartbeats. Spares the store a complete
// read of a long list by every daemon at startup.
constexpr auto max_scan_rows = std::size_t{2000};
constexpr auto max_announced =
    std::size_t{16};  // Changes logged one by one; larger batches are only counted.
constexpr auto max_logged_unreadable = std::size_t{32};  // Entries named in the log, once each.
constexpr auto expiry_check_interval = milliseconds{100};

}  // namespace

upstream_follower::upstream_follower(event_loop& loop, std::shared_ptr<upstream_directory> directory,
                                     decode_function decode, milliseconds expiry_grace)
    : loop_{&loop},
      directory_{std::move(directory)},
      decode_{std::move(decode)},
      expiry_grace_{expiry_grace} {}

auto upstream_follower::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                               const std::string& table, std::shared_ptr<upstream_directory> directory,
                               decode_function decode, milliseconds expiry_grace,
                               std::shared_ptr<peer_feed> feed) -> std::shared_ptr<upstream_follower> {
  auto follower = std::shared_ptr<upstream_follower>{
      new upstream_follower{loop, std::move(directory), std::move(decode), expiry_grace}};
  auto settings = table_follower_settings{};
  settings.table_ = table;
  settings.max_scan_rows_ = feed ? max_scan_rows : 0;
  auto* raw = follower.get();  // Not owning: the table follower is a member of `follower`.
  auto events = table_follower_events{};
  events.scan_started_ = [raw, feed] {
    raw->scanned_.clear();
    if (feed) {
      feed->start_scan();
    }
  };
  events.page_scanned_ = [raw, feed](const auto& listed) {
    raw->add_page(listed);
    if (feed) {
      feed->add_page(listed);
    }
  };
  events.scan_ended_ = [raw, feed](std::int64_t version) {
    raw->finish_scan(version);
    if (feed) {
      feed->finish_scan(version);
    }
  };
  if (feed) {
    settings.changes_ = [feed](std::string name, std::int64_t after) {
      return feed->changes(std::move(name), after);
    };
  }
  events.changes_ = [raw](const auto& changed) { raw->apply_changes(changed); };
  follower->follower_ = table_follower::create(loop, std::move(rows), settings, std::move(events));
  return follower;
}

auto upstream_follower::put(const stored_row& row, bool announced) -> void {
  auto decoded = decode_(row.key_.key_, row.value_);
  if (!ok(decoded)) {
    record_unreadable(row, failure(decoded));
    return;
  }
  expired_.erase(row.key_.key_);
  directory_->put(std::move(value(decoded)), announced);
}

auto upstream_follower::record_unreadable(const stored_row& row, const error& reason) -> void {
  ++unreadable_;
  auto first_time =
      logged_unreadable_.size() < max_logged_unreadable && logged_unreadable_.insert(row.key_.key_).second;
  if (first_time) {
    log_event(log_level::warning, "upstream_unreadable",
              {{"upstream", row.key_.key_}, {"version", row.version_}, {"detail", reason.detail_}});
  }
  directory_->remove(row.key_.key_);  // The upstream's last known state is no longer valid.
}

auto upstream_follower::remove(const std::string& id) -> void {
  auto reconnected_at = follower_ ? follower_->reconnected_at() : 0;
  auto in_grace = reconnected_at > 0 && clock_.now() < reconnected_at + expiry_grace_;
  if (!in_grace) {
    directory_->remove(id);
    return;
  }
  auto inserted = expired_.emplace(id, reconnected_at + expiry_grace_).second;
  if (inserted && expired_.size() == 1) {
    start(*loop_, "remove_lapsed", remove_expired());
  }
  if (inserted) {
    log_event(log_level::info, "upstream_expired",
              {{"upstream", id}, {"store_back_ms", clock_.now() - reconnected_at}});
  }
}

auto upstream_follower::add_page(const std::vector<stored_row>& rows) -> void {
  for (const auto& row : rows) {
    scanned_.insert(row.key_.key_);
    put(row, false);
  }
}

auto upstream_follower::finish_scan(std::int64_t version) -> void {
  for (const auto& id : directory_->ids()) {
    if (scanned_.count(id) == 0) {
      remove(id);
    }
  }
  log_event(log_level::info, "upstreams_scanned",
            {{"entries", static_cast<std::int64_t>(scanned_.size())},
             {"upstreams", static_cast<std::int64_t>(directory_->size())},
             {"unreadable", unreadable_},
             {"version", version}});
  scanned_ = {};
}

auto upstream_follower::apply_changes(const std::vector<stored_row>& rows) -> void {
  auto announced = rows.size() <= max_announced;
  for (const auto& row : rows) {
    if (row.removed_) {
      remove(row.key_.key_);
    } else {
      put(row, announced);
    }
  }
  if (!announced) {
    log_event(log_level::info, "upstreams_changed",
              {{"entries", static_cast<std::int64_t>(rows.size())},
               {"upstreams", static_cast<std::int64_t>(directory_->size())}});
  }
}

auto upstream_follower::remove_expired() -> task<> {
  auto self = shared_from_this();
  while (!expired_.empty()) {
    co_await pause_for(*loop_, expiry_check_interval);
    for (auto next = expired_.begin(); next != expired_.end();) {
      if (clock_.now() < next->second || follower_->store_unreachable()) {
        ++next;
        continue;
      }
      directory_->remove(next->first);
      next = expired_.erase(next);
    }
  }
}

}  // namespace birchlever

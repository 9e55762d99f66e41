#include "birchlever/controllers/upstream_follower.h"

#include "birchlever/controllers/peer_feed.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto most_scanned =
    std::size_t{2000};  // Enough to serve with. Of thousands the others come by their
                        // heartbeats, read by a few followers: hundreds of daemons that
                        // start at once must not read the whole list each.
constexpr auto most_announced = std::size_t{16};        // New entries named one by one; hundreds at once are
                                                        // counted: a line each would take a small VM seconds.
constexpr auto most_told_unreadable = std::size_t{32};  // Entries named in the log, once each.
constexpr auto lapse_check_gap = milliseconds{100};

}  // namespace

upstream_follower::upstream_follower(event_loop& loop, std::shared_ptr<upstream_directory> directory,
                                     decode_function decode, milliseconds lapse_return)
    : loop_{&loop},
      directory_{std::move(directory)},
      decode_{std::move(decode)},
      lapse_return_{lapse_return} {}

auto upstream_follower::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                               const std::string& table, std::shared_ptr<upstream_directory> directory,
                               decode_function decode, milliseconds lapse_return,
                               std::shared_ptr<peer_feed> feed) -> std::shared_ptr<upstream_follower> {
  auto made = std::shared_ptr<upstream_follower>{
      new upstream_follower{loop, std::move(directory), std::move(decode), lapse_return}};
  auto settings = table_follower_settings{};
  settings.table_ = table;
  settings.most_scanned_ = feed ? most_scanned : 0;
  auto* raw = made.get();  // The follower is made's own and ends with it.
  auto events = table_follower_events{};
  events.scan_started_ = [raw, feed] {
    raw->scanned_.clear();
    if (feed) {
      feed->begin_scan();
    }
  };
  events.page_scanned_ = [raw, feed](const auto& listed) {
    raw->take_page(listed);
    if (feed) {
      feed->take_page(listed);
    }
  };
  events.scan_ended_ = [raw, feed](std::int64_t version) {
    raw->end_scan(version);
    if (feed) {
      feed->end_scan(version);
    }
  };
  if (feed) {
    settings.changes_ = [feed](std::string name, std::int64_t after) {
      return feed->changes(std::move(name), after);
    };
  }
  events.changes_ = [raw](const auto& changed) { raw->take_changes(changed); };
  made->follower_ = table_follower::create(loop, std::move(rows), settings, std::move(events));
  return made;
}

auto upstream_follower::put(const stored_row& row, bool announced) -> void {
  auto decoded = decode_(row.key_.key_, row.value_);
  if (!ok(decoded)) {
    note_unreadable(row, failure(decoded));
    return;
  }
  lapsed_.erase(row.key_.key_);
  directory_->put(std::move(value(decoded)), announced);
}

auto upstream_follower::note_unreadable(const stored_row& row, const error& reason) -> void {
  ++unreadable_;
  auto told = told_unreadable_.size() < most_told_unreadable && told_unreadable_.insert(row.key_.key_).second;
  if (told) {
    log_event(log_level::warning, "upstream_unreadable",
              {{"upstream", row.key_.key_}, {"version", row.version_}, {"detail", reason.detail_}});
  }
  directory_->remove(row.key_.key_);  // What it was, nobody says any more.
}

auto upstream_follower::remove(const std::string& id) -> void {
  auto returned = follower_ ? follower_->regained_at() : 0;
  auto may_return = returned > 0 && clock_.now() < returned + lapse_return_;
  if (!may_return) {
    directory_->remove(id);
    return;
  }
  auto inserted = lapsed_.emplace(id, returned + lapse_return_).second;
  if (inserted && lapsed_.size() == 1) {
    start(*loop_, "remove_lapsed", remove_lapsed());
  }
  if (inserted) {
    log_event(log_level::info, "upstream_lapsed",
              {{"upstream", id}, {"store_back_ms", clock_.now() - returned}});
  }
}

auto upstream_follower::take_page(const std::vector<stored_row>& rows) -> void {
  for (const auto& row : rows) {
    scanned_.insert(row.key_.key_);
    put(row, false);
  }
}

auto upstream_follower::end_scan(std::int64_t version) -> void {
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

auto upstream_follower::take_changes(const std::vector<stored_row>& rows) -> void {
  auto announced = rows.size() <= most_announced;
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

auto upstream_follower::remove_lapsed() -> task<> {
  auto self = shared_from_this();
  while (!lapsed_.empty()) {
    co_await pause_for(*loop_, lapse_check_gap);
    for (auto next = lapsed_.begin(); next != lapsed_.end();) {
      if (clock_.now() < next->second || follower_->lost()) {
        ++next;
        continue;
      }
      directory_->remove(next->first);
      next = lapsed_.erase(next);
    }
  }
}

}  // namespace birchlever

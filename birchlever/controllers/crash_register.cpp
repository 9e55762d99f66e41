#include "birchlever/controllers/crash_register.h"

#include <algorithm>
#include <map>
#include <optional>

#include "birchlever/controllers/crash_rows.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_changes = std::size_t{48};  // Per transaction, of 100 rows at most; a change may need two.
constexpr auto max_pending = std::size_t{4096};

}  // namespace

crash_register::crash_register(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                               const crash_register_settings& settings, owner_function owns)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{settings},
      owns_{std::move(owns)},
      history_{settings.history_},
      written_signal_{loop} {}

auto crash_register::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                            const crash_register_settings& settings, owner_function owns)
    -> std::shared_ptr<crash_register> {
  auto created =
      std::shared_ptr<crash_register>{new crash_register{loop, std::move(rows), settings, std::move(owns)}};
  created->follow();
  start(loop, "sweep_crashes", created->sweep());
  return created;
}

auto crash_register::follow() -> void {
  auto settings = table_follower_settings{};
  settings.table_ = settings_.table_;
  settings.wait_ = settings_.poll_wait_;
  auto events = table_follower_events{};
  events.scan_started_ = [this] { scanned_keys_.clear(); };
  events.page_scanned_ = [this](const auto& rows) {
    for (const auto& row : rows) {
      scanned_keys_.insert(row.key_.key_);
    }
    apply_rows(rows);
  };
  events.scan_ended_ = [this](std::int64_t /*version*/) { finish_scan(); };
  events.changes_ = [this](const auto& rows) { apply_rows(rows); };
  follower_ = table_follower::create(*loop_, rows_, settings, std::move(events));
}

auto crash_register::apply_rows(const std::vector<stored_row>& rows) -> void {
  for (const auto& row : rows) {
    const auto& key = row.key_.key_;
    auto record = parse_crash_row_key(key);
    if (!record) {
      log_event(log_level::warning, "crash_row_unreadable", {{"key", key}});
      continue;
    }
    if (row.removed_) {
      stored_rows_.erase(key);
      open_rows_.erase(key);
      remove(*record, "row_removed");
      continue;
    }
    record->round_ = parse_round(row.value_);
    stored_rows_.try_emplace(key, clock_.now());
    if (!removal_pending(key)) {
      merge(*record, "store");
    }
  }
}

auto crash_register::removal_pending(const std::string& key) const -> bool {
  return std::any_of(pending_.begin(), pending_.end(), [&](const pending_change& change) {
    return change.removal_ && crash_row_key(change.record_) == key;
  });
}

auto crash_register::finish_scan() -> void {
  for (auto next = stored_rows_.begin(); next != stored_rows_.end();) {
    if (scanned_keys_.count(next->first) != 0) {
      ++next;
      continue;
    }
    if (auto record = parse_crash_row_key(next->first)) {
      remove(*record, "row_removed");
    }
    next = stored_rows_.erase(next);
  }
  scanned_keys_.clear();
}

auto crash_register::remove(const send_record& record, const char* cause) -> void {
  if (history_.erase(record)) {
    log_removed(record, cause);
  }
}

auto crash_register::log_removed(const send_record& record, const char* cause) const -> void {
  log_event(log_level::info, "crash_record_removed",
            {{"fingerprint", record.fingerprint_},
             {"upstream", record.upstream_},
             {"state", std::string{name_of(record.state_)}},
             {"cause", std::string{cause}},
             {"crashes", std::int64_t{history_.crashes(record.fingerprint_)}}});
}

auto crash_register::merge(const send_record& record, const char* source) -> void {
  if (!history_.record(record, clock_.now())) {
    return;
  }
  log_event(log_level::info, "crash_recorded",
            {{"fingerprint", record.fingerprint_},
             {"upstream", record.upstream_},
             {"state", std::string{name_of(record.state_)}},
             {"source", std::string{source}},
             {"crashes", std::int64_t{history_.crashes(record.fingerprint_)}}});
}

auto crash_register::publish(const send_record& record) -> void {
  if (publish_) {
    publish_(record);
  }
}

auto crash_register::apply_peer_record(const send_record& record) -> void {
  if (record.state_ == send_state::settled || record.state_ == send_state::served) {
    remove_open_rows(record);
  }
  merge(record, "peer");
}

auto crash_register::remove_open_rows(const send_record& ended) -> void {
  auto first = crash_row_key({ended.fingerprint_, ended.upstream_, send_state::open});
  auto keys = std::vector<std::string>{};
  for (auto next = open_rows_.lower_bound(first); next != open_rows_.end(); ++next) {
    if (next->compare(0, first.size(), first) != 0) {
      break;
    }
    keys.push_back(*next);
  }
  for (const auto& key : keys) {
    auto record = parse_crash_row_key(key);
    auto same = ended.state_ == send_state::served || record->upstream_ == ended.upstream_;
    if (same) {
      enqueue(*record, true);
    }
  }
}

auto crash_register::known_records() const -> std::vector<send_record> {
  auto records = history_.records_known_for(0, clock_.now());
  // Those of work near its limit come first.
  std::stable_partition(records.begin(), records.end(), [this](const send_record& record) {
    return history_.crashes(record.fingerprint_) > 1;
  });
  records.resize(std::min(records.size(), settings_.max_introduced_));
  return records;
}

auto crash_register::enqueue(const send_record& record, bool removal) -> std::int64_t {
  if (pending_.size() >= max_pending) {
    log_event(log_level::warning, "crash_record_dropped", {{"reason", std::string{"queue_full"}}});
    dropped_ = pending_.front().number_;
    remove_pending(dropped_);
  }
  auto open_key = crash_row_key({record.fingerprint_, record.upstream_, send_state::open});
  if (record.state_ == send_state::open && !removal) {
    open_rows_.insert(open_key);
  } else {
    open_rows_.erase(open_key);
  }
  pending_.push_back({record, removal, clock_.now(), ++enqueued_});
  if (!std::exchange(writing_, true)) {
    start(*loop_, "write_crashes", write_pending());
  }
  return enqueued_;
}

auto crash_register::announce(const send_record& record) -> void {
  merge(record, "self");
  publish(record);
}

auto crash_register::record(send_record record, record_wait wait) -> task<bool> {
  auto records = std::vector<send_record>{std::move(record)};
  auto stored = co_await record_all(std::move(records), wait);
  co_return stored;
}

auto crash_register::record_all(std::vector<send_record> records, record_wait wait) -> task<bool> {
  auto self = shared_from_this();
  auto started_at = clock_.now();
  auto number = std::int64_t{0};
  for (const auto& record : records) {
    wait = record.state_ == send_state::crashed ? record_wait::spread : wait;
    share_crashes(record.fingerprint_);
    announce(record);
    number = table_full() ? 0 : enqueue(record, false);
  }
  auto stored = false;
  if (number > 0) {
    stored = co_await wait_until_written(number, started_at + settings_.record_limit_);
  }
  auto spread_left = started_at + settings_.spread_time_ - clock_.now();
  if (wait == record_wait::spread && spread_left > 0) {
    co_await pause_for(*loop_, spread_left);
  }
  co_return stored;
}

auto crash_register::wait_until_written(std::int64_t number, milliseconds give_up_at) -> task<bool> {
  while (written_ < number && clock_.now() < give_up_at) {
    co_await written_signal_.wait_for(give_up_at - clock_.now());
  }
  co_return written_ >= number&& dropped_ < number;
}

auto crash_register::table_full() -> bool {
  auto full = stored_rows_.size() >= settings_.max_rows_;
  if (std::exchange(full_logged_, full) != full) {
    log_event(log_level::warning, "crash_table_full",
              {{"full", full}, {"rows", static_cast<std::int64_t>(stored_rows_.size())}});
  }
  return full;
}

auto crash_register::share_crashes(const std::string& fingerprint) -> void {
  for (const auto& crash : history_.crash_records(fingerprint)) {
    publish(crash);
    auto missing = stored_rows_.count(crash_row_key(crash)) == 0;
    if (missing && !table_full()) {
      enqueue(crash, false);
    }
  }
}

auto crash_register::settle(const std::string& fingerprint, const std::string& upstream) -> bool {
  auto open_send = send_record{fingerprint, upstream, send_state::open};
  auto crashes = history_.crashes(fingerprint);
  remove(open_send, "settled");
  if (history_.crashes(fingerprint) == crashes) {
    return false;
  }
  publish({fingerprint, upstream, send_state::settled});
  remove_row(open_send);
  return true;
}

auto crash_register::conclude_served(const std::string& fingerprint) -> void {
  if (history_.crashes(fingerprint) == 0) {
    return;
  }
  auto removed = is_content(fingerprint) ? history_.clear(fingerprint, clock_.now())
                                         : history_.mark_served(fingerprint, clock_.now());
  log_event(log_level::info, "crash_records_cleared",
            {{"fingerprint", fingerprint},
             {"records", static_cast<std::int64_t>(removed.size())},
             {"crashes", std::int64_t{history_.crashes(fingerprint)}}});
  for (const auto& record : removed) {
    remove_row(record);
  }
  publish({fingerprint, "", send_state::served});
}

auto crash_register::remove_row(const send_record& record) -> void {
  auto key = crash_row_key(record);
  if (open_rows_.count(key) != 0 || stored_rows_.count(key) != 0 || record.state_ == send_state::crashed) {
    enqueue(record, true);
  }
}

auto crash_register::transaction_of(std::size_t count) const -> row_transaction {
  auto values =
      std::map<std::string, std::optional<int>>{};  // By key; none: removed. A row occurs once only.
  for (auto next = std::size_t{0}; next < count; ++next) {
    const auto& change = pending_[next];
    const auto& record = change.record_;
    values[crash_row_key(record)] = change.removal_ ? std::nullopt : std::optional{record.round_};
    if (record.state_ == send_state::crashed) {
      auto open = record;
      open.state_ = send_state::open;
      values[crash_row_key(open)] = std::nullopt;
    }
  }
  auto transaction = row_transaction{};
  transaction.priority_ = write_priority::ends_turn;
  for (const auto& [key, round] : values) {
    auto row = row_key{settings_.table_, "", key};
    if (round) {
      transaction.puts_.push_back({std::move(row), std::to_string(*round)});
    } else {
      transaction.removals_.push_back(std::move(row));
    }
  }
  return transaction;
}

auto crash_register::remove_pending(std::int64_t last) -> void {
  while (!pending_.empty() && pending_.front().number_ <= last) {
    pending_.pop_front();
  }
  written_ = std::max(written_, last);
  written_signal_.notify();
}

auto crash_register::write_pending() -> task<> {
  auto self = shared_from_this();
  co_await pause_for(*loop_, 0);  // Records of the same moment share a transaction.
  while (!pending_.empty()) {
    auto count = std::min(pending_.size(), max_changes);
    auto last = pending_[count - 1].number_;
    auto committed = co_await rows_->commit(transaction_of(count), settings_.commit_limit_);
    if (ok(committed)) {
      remove_pending(last);
      continue;
    }
    auto overdue = !pending_.empty() && clock_.now() - pending_.front().since_ > settings_.drop_after_;
    if (overdue) {
      log_failure(log_level::warning, "crash_record_dropped", failure(committed));
      dropped_ = pending_.front().number_;
      remove_pending(dropped_);
    }
    co_await pause_for(*loop_, settings_.retry_interval_);
  }
  writing_ = false;
}

auto crash_register::sweep() -> task<> {
  auto self = shared_from_this();
  while (true) {
    co_await pause_for(*loop_, settings_.sweep_interval_);
    forget_expired();
    remove_expired_rows();
    write_missing();
  }
}

auto crash_register::forget_expired() -> void {
  for (const auto& record : history_.expire(clock_.now())) {
    log_removed(record, "expired");
    // A row of served work would else be kept for as long as that of other work.
    if (stored_rows_.count(crash_row_key(record)) != 0 && owns_(record.fingerprint_)) {
      enqueue(record, true);
    }
  }
}

auto crash_register::remove_expired_rows() -> void {
  if (!pending_.empty()) {
    return;  // They are found again by the next sweep.
  }
  auto now = clock_.now();
  for (const auto& [key, since] : stored_rows_) {
    auto record = parse_crash_row_key(key);
    if (!record) {
      continue;
    }
    auto lifetime = history_.lifetime_of(*record);
    auto age = now - since;
    auto responsible = owns_(record->fingerprint_) || age > 2 * lifetime;  // The owner may be gone.
    if (age > lifetime && responsible) {
      enqueue(*record, true);
    }
  }
}

auto crash_register::write_missing() -> void {
  if (!follower_->primed() || !pending_.empty() || table_full()) {
    return;
  }
  auto now = clock_.now();
  auto anyone = history_.records_known_for(settings_.repair_by_any_after_, now);
  auto overdue = std::set<std::string>{};
  for (const auto& record : anyone) {
    overdue.insert(crash_row_key(record));
  }
  for (const auto& record : history_.records_known_for(settings_.repair_after_, now)) {
    auto key = crash_row_key(record);
    auto responsible = overdue.count(key) != 0 || owns_(record.fingerprint_);
    if (responsible && stored_rows_.count(key) == 0) {
      log_event(log_level::info, "crash_record_repaired",
                {{"fingerprint", record.fingerprint_}, {"upstream", record.upstream_}});
      enqueue(record, false);
    }
  }
}

}  // namespace birchlever

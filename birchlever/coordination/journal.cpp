#include "birchlever/coordination/journal.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "birchlever/coordination/lease.h"
#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"

namespace birchlever {
namespace {

constexpr auto max_retry_interval = std::chrono::milliseconds{250};

auto padded(std::int64_t number, int width) -> std::string {
  auto text = std::array<char, 32>{};
  std::snprintf(text.data(), text.size(), "%0*lld", width, static_cast<long long>(number));
  return text.data();
}

}  // namespace

auto journal::create(const journal_settings& settings, int shard, std::int64_t fence_version,
                     std::shared_ptr<table_store_interface> store) -> result<journal> {
  if (settings.scan_page_ < 1 || settings.trim_page_ < 1 || settings.attempts_ < 1) {
    return error{error_code::invalid_setting, "journal pages and attempts must be at least 1"};
  }
  return journal{settings, shard, fence_version, std::move(store)};
}

journal::journal(const journal_settings& settings, int shard, std::int64_t fence_version,
                 std::shared_ptr<table_store_interface> store)
    : settings_{settings}, shard_{shard}, fence_version_{fence_version}, store_{std::move(store)} {}

auto journal::row_prefix() const -> std::string {
  return "journal/" + padded(shard_, 4) + "/";
}

auto journal::row_key(std::int64_t sequence) const -> std::string {
  return row_prefix() + padded(sequence, 12);
}

auto journal::pointer_key() const -> std::string {
  return "snapshot/" + padded(shard_, 4);
}

auto journal::recover() -> result<journal_recovery> {
  auto found = journal_recovery{};
  auto pointer = store_->read(pointer_key());
  if (!ok(pointer)) {
    return failure(pointer);
  }
  ++found.reads_;
  if (value(pointer)) {
    auto body = nlohmann::json::parse(value(pointer)->value_, nullptr, false);
    if (!body.is_object()) {
      return error{error_code::malformed_json, "malformed snapshot pointer"};
    }
    snapshot_object_ = body.value("object", "");
    last_sequence_ = body.value("sequence", std::int64_t{0});
    auto object = store_->get_object(snapshot_object_);
    if (!ok(object)) {
      return failure(object);
    }
    ++found.reads_;
    if (!value(object)) {
      return error{error_code::store_unavailable, "snapshot object " + snapshot_object_ + " is missing"};
    }
    found.snapshot_ = *value(object);
  }
  trimmed_through_ = last_sequence_;
  auto after = row_key(last_sequence_);
  while (true) {
    auto rows = store_->scan(row_prefix(), after, settings_.scan_page_);
    if (!ok(rows)) {
      return failure(rows);
    }
    ++found.reads_;
    for (const auto& row : value(rows)) {
      auto records = parse_records(row.value_);
      if (!ok(records)) {
        return failure(records);
      }
      for (auto& record : value(records)) {
        found.records_.push_back(std::move(record));
      }
      ++found.rows_;
      ++last_sequence_;
      after = row.key_;
    }
    if (value(rows).size() < static_cast<std::size_t>(settings_.scan_page_)) {
      return found;
    }
  }
}

auto journal::resolve_conflict(const std::string& key, const std::string& write_id) -> status {
  auto row = store_->read(key);
  if (!ok(row)) {
    return failure(row);
  }
  if (value(row) && value(row)->write_id_ == write_id) {
    return success;
  }
  return error{error_code::lease_lost, "another epoch writes to this journal"};
}

auto journal::commit(const std::vector<journal_record>& records, const retry_predicate& should_retry)
    -> result<std::int64_t> {
  auto key = row_key(last_sequence_ + 1);
  auto transaction = table_transaction{random_id(), {{key, 0}}, {{key, to_text(records)}}, {}};
  if (test_switches::instance().mechanism_on("journal_fence")) {
    transaction.conditions_.push_back({lease::fence_key(shard_), fence_version_});
  }
  auto delay = std::chrono::milliseconds{settings_.retry_interval_ms_};
  for (auto attempt = 0; attempt < settings_.attempts_; ++attempt) {
    auto outcome = store_->commit(transaction);
    if (ok(outcome)) {
      return ++last_sequence_;
    }
    if (failure(outcome).code_ == error_code::store_conflict) {
      auto resolved = resolve_conflict(key, transaction.write_id_);
      if (ok(resolved)) {
        return ++last_sequence_;
      }
      if (failure(resolved).code_ == error_code::lease_lost) {
        return failure(resolved);
      }
    }
    if (!should_retry()) {
      break;
    }
    std::this_thread::sleep_for(delay);
    delay = std::min(delay * 2, max_retry_interval);
  }
  return error{error_code::store_unknown, "outcome of the journal commit is unknown", ran_state::not_run,
               1000};
}

auto journal::write_snapshot(const journal_snapshot& snapshot) -> status {
  if (!snapshot.segment_key_.empty()) {
    auto stored = store_->put_object(snapshot.segment_key_, snapshot.segment_);
    if (!ok(stored)) {
      return stored;
    }
  }
  auto object = "snapshot/" + padded(shard_, 4) + "/" + padded(snapshot.sequence_, 12) + "-" + random_id();
  auto stored = store_->put_object(object, snapshot.state_);
  if (!ok(stored)) {
    return stored;
  }
  auto pointer = nlohmann::json{{"object", object}, {"sequence", snapshot.sequence_}}.dump();
  auto transaction = table_transaction{random_id(), {{lease::fence_key(shard_), fence_version_}}, {}, {}};
  transaction.puts_.push_back({pointer_key(), pointer});
  auto outcome = store_->commit(transaction);
  if (!ok(outcome)) {
    return failure(outcome);
  }
  if (!snapshot_object_.empty()) {
    (void)store_->delete_object(snapshot_object_);  // Best effort: an object left behind is unreferenced.
  }
  snapshot_object_ = object;
  for (const auto& segment : snapshot.dead_segments_) {
    (void)store_->delete_object(segment);
  }
  trim(snapshot.sequence_);
  return success;
}

auto journal::trim(std::int64_t through) -> void {
  while (trimmed_through_ < through) {
    auto transaction = table_transaction{random_id(), {{lease::fence_key(shard_), fence_version_}}, {}, {}};
    auto last = std::min(through, trimmed_through_ + settings_.trim_page_);
    for (auto sequence = trimmed_through_ + 1; sequence <= last; ++sequence) {
      transaction.deletes_.push_back(row_key(sequence));
    }
    if (!ok(store_->commit(transaction))) {
      return;  // The next snapshot retries from here.
    }
    trimmed_through_ = last;
  }
}

}  // namespace birchlever
